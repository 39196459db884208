package planner

import "time"

// Scarcity returns how much of the requests that the searchers' limits let this VM send to a shard at once is used up,
// from 0 to 1. It is 0 if one of the searchers has no limit or if there are none.
func (p *Picker) Scarcity(now time.Time, shard int32) float64 {
	service := p.Snapshot.Shards[shard].Service
	if service < 0 {
		return 0
	}
	left, most := 0.0, 0.0
	for _, r := range p.View.Services[service].Searchers {
		health := p.View.Searchers[r].Health
		if !p.isAvailable(now, r) || health.Ejected(now) || health.BackingOff(now) {
			continue
		}
		tokens, burst, limited := health.Tokens(now)
		if !limited {
			return 0
		}
		left += tokens
		most += burst
	}
	if most == 0 {
		return 0
	}
	return 1 - left/most
}

// Wait returns how long it takes until one of the shard's searchers takes a request by what it said in its answers. It is
// 0 if one does now, and if there are none.
func (p *Picker) Wait(now time.Time, shard int32) time.Duration {
	service := p.Snapshot.Shards[shard].Service
	if service < 0 {
		return 0
	}
	least := time.Duration(-1)
	for _, r := range p.View.Services[service].Searchers {
		if !p.isAvailable(now, r) {
			continue
		}
		if w := p.View.Searchers[r].Health.Wait(now, p.Reserve); least < 0 || w < least {
			least = w
		}
	}
	return max(0, least)
}
