package limiter

// Share is a VM's part of the connections of one searcher.
type Share struct {
	Limit int
	// Holder says that the connections may stay open while idle.
	Holder bool
}

// nearWeight is how many connections a near VM may hold for each one of a far VM.
const nearWeight = 2.0

// nearPart is the near VMs' part of the connections where they do not go round.
const nearPart = 0.6

// ShareOf divides half of the connections of a searcher over the fleet, for after a loss of power the searcher still counts those from before: VMs of its own region get twice as many as others. Where they do not go round, near VMs come first, then far ones, both by rank within their kind; any other opens one for as long as it is in use.
func ShareOf(connections, near, far int, isNear bool, rank int) Share {
	near, far = max(near, 0), max(far, 0)
	total := float64(connections) * RestartHeadroom
	if unit := total / max(1, nearWeight*float64(near)+float64(far)); unit >= 1 {
		if isNear {
			return Share{max(1, (int(total)-far*int(unit))/max(1, near)), true}
		}
		return Share{int(unit), true}
	}
	each := max(1, int(total*nearPart/float64(max(1, near))))
	if isNear {
		return Share{each, rank < int(total)/each}
	}
	return Share{1, rank < int(total)-near*each}
}
