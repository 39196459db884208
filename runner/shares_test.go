package runner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

var testRegions = map[modeler.FailureDomain]string{"a": "east", "b": "west", "c": "south"}

// fleetView returns a view of services with one searcher in each region.
func fleetView(services, connections int) *planner.View {
	domains := []modeler.FailureDomain{"a", "b", "c"}
	var c modeler.Configuration
	for n := range services {
		s := modeler.Service{Name: modeler.ServiceName(fmt.Sprintf("shard-%d", n)), Contract: modeler.Contract{Slots: 4, Connections: connections}}
		for i, d := range domains {
			s.Searchers = append(s.Searchers, modeler.Searcher{
				Name: modeler.SearcherName(fmt.Sprintf("i-%d-%d", n, i)), FailureDomain: d,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(n >> 8), byte(n)}), 9000),
			})
		}
		c.Services = append(c.Services, s)
	}
	return planner.NewView(modeler.Position{Revision: 1}, "a", nil, []modeler.Configuration{c}, observer.NewObserver())
}

// fleetVMs returns settled VMs that are spread over the regions and all know each other.
func fleetVMs(n int) []*VM {
	domains := []modeler.FailureDomain{"a", "b", "c"}
	all := &membership{liveCount: n}
	for i := range n {
		all.members = append(all.members, gossiper.Member{Name: modeler.VMName(fmt.Sprintf("entry-%d", i)), Domain: domains[i%len(domains)]})
	}
	vms := make([]*VM, n)
	for i := range vms {
		cfg := Settings{Name: all.members[i].Name, FailureDomain: all.members[i].Domain, Routing: &Routing{Regions: testRegions}}
		vms[i] = &VM{cfg: cfg, startedAt: time.Now().Add(-time.Minute)}
		vms[i].membership.Store(all)
	}
	return vms
}

// Each VM must keep connections to all near searchers, and to one far searcher of at least half of the services. The
// VMs together must not exceed the connections that a searcher publishes as its limit. The fleet has 70 VMs and 36
// shards of 3 searchers, and each searcher allows 67 connections.
func TestEveryVMKeepsOneFarConnectionOfMostServices(t *testing.T) {
	const connections = 67
	view, vms := fleetView(36, connections), fleetVMs(70)
	held := make([]int, len(view.Searchers))
	for _, v := range vms {
		near, far := 0, 0
		for n := range view.Searchers {
			s := v.connectionShare(view, int32(n))
			if !s.Holder {
				continue
			}
			held[n] += s.Limit
			if testRegions[view.Searchers[n].FailureDomain] == testRegions[v.cfg.FailureDomain] {
				near++
			} else {
				far++
			}
		}
		if near != len(view.Services) || far < len(view.Services)/2 || far > len(view.Services) {
			t.Errorf("VM %s keeps connections to %d near and %d far searchers, but there are %d services", v.cfg.Name, near, far, len(view.Services))
		}
	}
	for n, k := range held {
		if k > connections {
			t.Errorf("searcher %d: the VMs keep %d connections, more than the %d that it publishes as its limit", n, k, connections)
		}
	}
}

func BenchmarkShares(b *testing.B) {
	for _, fleet := range []int{70, 300} {
		b.Run(fmt.Sprintf("%d-vms", fleet), func(b *testing.B) {
			view, v := fleetView(90, 67), fleetVMs(fleet)[0]
			b.ReportAllocs()
			for b.Loop() {
				v.shares.reset()
				for n := range view.Searchers {
					_ = v.connectionShare(view, int32(n))
				}
			}
		})
	}
}
