package planner

// Spread keeps the first attempts of a query from lying all in one failure domain: the loss of all of them would then look like the loss of that domain, whatever caused it.
type Spread struct {
	shards int
	picked int
	domain int32
	mixed  bool
}

// NewSpread makes the spread of a query over a number of shards.
func NewSpread(shards int) *Spread { return &Spread{shards: shards} }

// avoids returns the failure domain that the next first attempt leaves, if it is the last one that can.
func (s *Spread) avoids() (domain int32, ok bool) {
	return s.domain, s.picked > 0 && s.picked == s.shards-1 && !s.mixed
}

// add counts the first attempt of a shard.
func (s *Spread) add(domain int32) {
	s.mixed = s.mixed || (s.picked > 0 && domain != s.domain)
	s.domain = domain
	s.picked++
}
