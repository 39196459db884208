package planner

// Spread makes the first attempts of a query use at least two failure domains, if replicas in a second one can be used.
// If all first attempts went to one domain and were lost, that would look like the loss of the domain, whatever the
// cause.
type Spread struct {
	shards       int
	picked       int
	lastDomain   int32
	spansDomains bool
}

// NewSpread returns the spread of a query over the given number of shards.
func NewSpread(shards int) *Spread { return &Spread{shards: shards} }

// domainToAvoid returns the failure domain that the next pick must avoid. There is one only before the last shard's
// first attempt, and only if all earlier first attempts went to this domain.
func (s *Spread) domainToAvoid() (domain int32, ok bool) {
	return s.lastDomain, s.picked > 0 && s.picked == s.shards-1 && !s.spansDomains
}

// add records the failure domain of a shard's first attempt.
func (s *Spread) add(domain int32) {
	s.spansDomains = s.spansDomains || (s.picked > 0 && domain != s.lastDomain)
	s.lastDomain = domain
	s.picked++
}
