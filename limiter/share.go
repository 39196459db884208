package limiter

// Share is a VM's part of the connections that one searcher publishes as its limit.
type Share struct {
	Limit  int
	Holder bool // whether the connections may stay open while idle
}

// Candidate is a VM that may hold connections to a searcher.
type Candidate struct {
	// Near reports whether the VM is in the searcher's region. VMs outside it are far.
	Near bool
	// Rank is the number of VMs that rank before this one: among the near VMs for a near one, among the far VMs that
	// chose the same searcher for a far one.
	Rank int
	// Eligible reports whether the VM is near, or has chosen this searcher among those of the service outside its
	// region.
	Eligible bool
	// Remote reports whether the service has no searcher in the VM's region, so that all its searchers are far.
	Remote bool
	// Settled reports whether the VM has run long enough for searchers to have closed the connections of an earlier
	// incarnation of the fleet.
	Settled bool
}

// remoteWeight is how many connections a remote VM may hold for each one of any other VM. It needs more because its
// requests occupy a connection for the network delay as well.
const remoteWeight = 2.0

// nearWeight is how many connections a near VM may hold for each one of a far VM.
const nearWeight = 2.0

// nearFraction is the fraction of one incarnation's connections that is divided over the near VMs if there are too few
// for every VM. Each near holder gets at least one connection, so the near holders may use more than this fraction.
// Their number is limited so that they stay within one incarnation's connections.
const nearFraction = 0.6

// ShareOfThin divides the connections of a searcher of a thin service over the VMs. A thin service has no searcher in
// the region of some VMs, the remote ones; far counts only the other VMs outside the searcher's region. The shares use
// nearly all connections, because the few remaining searchers must carry the whole load. Without remote VMs, or if
// there are too few connections for every VM, ShareOfThin returns the zero Share, and ShareOf applies.
func ShareOfThin(connections, near, far, remote int, c Candidate) Share {
	if remote <= 0 {
		return Share{}
	}
	notRemote := max(near, 0) + max(far, 0)
	total := float64(connections) * ShareFraction
	perRemote := int(total * remoteWeight / (remoteWeight*float64(remote) + float64(notRemote)))
	remaining := int(total) - perRemote*remote
	if perRemote < 1 || remaining < notRemote {
		return Share{}
	}
	if c.Remote {
		return Share{perRemote, true}
	}
	return Share{max(1, min(perRemote, remaining/max(1, notRemote))), true}
}

// ShareOf divides the connections of a searcher over the fleet. The shares of the holders in two incarnations of the
// fleet fit the searcher's limit, because after a power loss it still counts the connections from before. A near VM gets
// about twice as many as a far one. If there are too few for every VM, near VMs become holders first, in the order of
// their ranks, and settled far VMs that chose the searcher share what two incarnations of the near VMs leave. The other
// near VMs may open as many connections as a near holder, and the other far VMs one, but only while these are in use.
// These connections come on top of the holders' shares.
func ShareOf(connections, near, far int, c Candidate) Share {
	near, far = max(near, 0), max(far, 0)
	total := float64(connections) * IncarnationFraction
	if perFar := total / max(1, nearWeight*float64(near)+float64(far)); perFar >= 1 {
		if c.Near {
			return Share{max(1, (int(total)-far*int(perFar))/max(1, near)), true}
		}
		return Share{int(perFar), true}
	}
	perNear := max(1, int(total*nearFraction/float64(max(1, near))))
	nearHolders := min(near, int(total)/perNear)
	if c.Near {
		return Share{perNear, c.Rank < nearHolders}
	}
	farHolders := int(float64(connections)*ShareFraction) - 2*nearHolders*perNear
	return Share{1, c.Eligible && c.Settled && c.Rank < farHolders}
}
