package faker

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every VM passes its health check, and returns an error if that takes longer than limit.
func WaitReady(ctx context.Context, vms []runner.Settings, limit time.Duration) error {
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, s := range vms {
		for {
			if _, err := client.Read(ctx, s.Listen.Operators, "/admin/v1/health"); err == nil {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("VM %s is not ready after %s", s.Name, limit)
			}
			spawner.Sleep(ctx, readyPollInterval)
		}
	}
	return nil
}

// CheckAnswer returns what is wrong with an answer. It computes the coverage and the hits from the shards of the
// answer's snapshot and from the missing shards that the answer names, and compares them with the answer. Only as many
// hits as the answer has are compared, so an answer with too few hits passes.
func CheckAnswer(c modeler.Configuration, index modeler.IndexName, text string, a server.SearchAnswer) []string {
	snapshot, ok := findSnapshot(c, index, a.Snapshot)
	if !ok {
		return []string{fmt.Sprintf("snapshot %d was never published", a.Snapshot)}
	}
	missing := map[modeler.ShardName]bool{}
	for _, n := range a.Coverage.Missing {
		missing[n] = true
	}
	var faults []string
	var hits []dialer.Hit
	var searched, total uint64
	answered := 0
	for _, h := range snapshot.Shards {
		total += h.Documents
		if missing[h.Name] {
			continue
		}
		answered++
		searched += h.Documents
		hits = append(hits, HitsOf(index, snapshot.ID, h.Name, text)...)
	}
	wantCoverage := server.Coverage{
		ShardsTotal: len(snapshot.Shards), ShardsAnswered: answered,
		DocumentsTotal: total, DocumentsSearched: searched, Missing: a.Coverage.Missing,
	}
	if fmt.Sprint(wantCoverage) != fmt.Sprint(a.Coverage) {
		faults = append(faults, fmt.Sprintf("coverage is %+v, want %+v", a.Coverage, wantCoverage))
	}
	if a.Complete != (answered == len(snapshot.Shards)) {
		faults = append(faults, "the complete flag does not match the coverage")
	}
	wantHits := dialer.MergeHits(nil, hits, len(a.Hits))
	if fmt.Sprint(wantHits) != fmt.Sprint(a.Hits) {
		faults = append(faults, fmt.Sprintf("hits are %v, want %v", a.Hits, wantHits))
	}
	return faults
}

func findSnapshot(c modeler.Configuration, index modeler.IndexName, id modeler.SnapshotID) (modeler.Snapshot, bool) {
	for _, x := range c.Indexes {
		for _, s := range x.Snapshots {
			if x.Name == index && s.ID == id {
				return s, true
			}
		}
	}
	return modeler.Snapshot{}, false
}
