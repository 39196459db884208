package runner

import (
	"slices"
	"testing"
)

// The VMs' parts of a searcher's limit must not exceed it, each VM must have another rank, and the near VMs come first.
func TestVMsShareASearchersLimit(t *testing.T) {
	const limit = 30.0
	view, vms := fleetView(1, 60), fleetVMs(70)
	for _, v := range vms {
		m := *v.membership.Load()
		m.recent = m.members
		v.membership.Store(&m)
	}
	s := &view.Searchers[0]
	total := 0.0
	ranks := make([]int, len(vms))
	for i, v := range vms {
		ranks[i] = v.quotaRank(v.membership.Load(), s)
		total += v.quotaPart(s, limit).Rate
		near := testRegions[v.cfg.FailureDomain] == testRegions[s.FailureDomain]
		if near != (ranks[i] < 24) {
			t.Errorf("VM %s has rank %d of 70; near: %v; want the 24 near VMs first", v.cfg.Name, ranks[i], near)
		}
	}
	if total > limit+1e-9 || total < 0.99*limit {
		t.Errorf("the VMs' parts add up to %.2f requests a second, want the limit of %.0f", total, limit)
	}
	slices.Sort(ranks)
	if unique := slices.Compact(ranks); len(unique) != len(vms) {
		t.Errorf("%d VMs have %d different ranks", len(vms), len(unique))
	}
}
