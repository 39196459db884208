package limiter

// Share is a VM's part of the connections of one searcher.
type Share struct {
	Limit int
	// Holder says that the connections may stay open while idle.
	Holder bool
}

// Candidate is a VM that may hold connections to a searcher.
type Candidate struct {
	// Near says that the VM is in the searcher's region.
	Near bool
	// Rank counts the VMs that come before this one: near ones, or far ones that chose the same searcher.
	Rank int
	// Chose says that the VM is near, or chose this searcher among the far ones of its service.
	Chose bool
	// Remote says that the service has no searcher in the VM's region, so that the VM sends all of its requests to far ones.
	Remote bool
	// Settled says that the VM has run for so long that searchers have closed the connections of an earlier incarnation.
	Settled bool
}

// remoteWeight is how many connections a remote VM may hold for each one of any other: its requests occupy one for the link's delay besides.
const remoteWeight = 2.0

// nearWeight is how many connections a near VM may hold for each one of a far VM.
const nearWeight = 2.0

// nearPart is the near VMs' part of half of the connections where they do not go round.
const nearPart = 0.6

// ShareOfThin divides the connections of a searcher whose service has none in the region of some VMs, the remote ones; far counts the others outside its region. Nearly all connections are used, for the few searchers left must carry the whole load. Without remote VMs, or where the connections do not go round, there are no such shares.
func ShareOfThin(connections, near, far, remote int, c Candidate) Share {
	if remote <= 0 {
		return Share{}
	}
	others := max(near, 0) + max(far, 0)
	total := float64(connections) * ShareHeadroom
	each := int(total * remoteWeight / (remoteWeight*float64(remote) + float64(others)))
	rest := int(total) - each*remote
	if each < 1 || rest < others {
		return Share{}
	}
	if c.Remote {
		return Share{each, true}
	}
	return Share{max(1, min(each, rest/max(1, others))), true}
}

// ShareOf divides the connections of a searcher over the fleet so that those of two incarnations of it fit, for after a loss of power the searcher still counts those from before. VMs of its own region get twice as many as others. Where they do not go round, near VMs come first; settled far ones share what two incarnations of the near leave. Any other opens one for as long as it is in use.
func ShareOf(connections, near, far int, c Candidate) Share {
	near, far = max(near, 0), max(far, 0)
	total := float64(connections) * RestartHeadroom
	if unit := total / max(1, nearWeight*float64(near)+float64(far)); unit >= 1 {
		if c.Near {
			return Share{max(1, (int(total)-far*int(unit))/max(1, near)), true}
		}
		return Share{int(unit), true}
	}
	each := max(1, int(total*nearPart/float64(max(1, near))))
	holders := min(near, int(total)/each)
	if c.Near {
		return Share{each, c.Rank < holders}
	}
	left := int(float64(connections)*ShareHeadroom) - 2*holders*each
	return Share{1, c.Chose && c.Settled && c.Rank < left}
}
