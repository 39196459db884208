package faker

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/watcher"
)

const (
	longPollTimeout       = 25 * time.Second
	platformShutdownGrace = 100 * time.Millisecond
)

type storedValue struct {
	revision modeler.Revision
	text     []byte
}

// Platform is a stand-in for the platform: its configuration service, which stores values under keys, and its list of
// VMs.
type Platform struct {
	Address netip.AddrPort

	mu       sync.Mutex
	revision modeler.Revision
	values   map[string]storedValue
	served   *Platform // only its revision and values are set: what readers get instead of the newest; nil for the newest
	listing  modeler.Listing
	down     bool
	valuesAt map[modeler.Revision]map[string]storedValue // all values as they were at each revision
	changed  chan struct{}                               // closed and replaced by Publish and SetDown only
	calls    int
	cancel   context.CancelFunc
	done     <-chan error
}

// StartPlatform serves an empty platform on the address until the context ends.
func StartPlatform(ctx context.Context, addr netip.AddrPort) (*Platform, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Address: l.Addr().(*net.TCPAddr).AddrPort(), values: map[string]storedValue{}, valuesAt: map[modeler.Revision]map[string]storedValue{}, changed: make(chan struct{}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/keys", p.handleDirectory)
	r.HandleFunc("/v1/keys/{key}", p.handleValue)
	r.HandleFunc("/v1/vms", p.handleVMs)
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = spawner.Go(ctx, func(ctx context.Context) error {
		return server.Serve(ctx, server.NewHTTPServer(p.countAndRefuse(r)), l, platformShutdownGrace)
	})
	return p, nil
}

// Stop shuts the platform down and waits for its end.
func (p *Platform) Stop() {
	p.cancel()
	<-p.done
}

// Publish stores a value under a key and returns its revision.
func (p *Platform) Publish(key string, text []byte) modeler.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = storedValue{p.revision, text}
	p.valuesAt[p.revision] = maps.Clone(p.values)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PublishConfiguration stores a configuration as JSON.
func (p *Platform) PublishConfiguration(key string, c modeler.Configuration) (modeler.Revision, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	return p.Publish(key, b), nil
}

// SetListing replaces the list of VMs.
func (p *Platform) SetListing(l modeler.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listing = l
}

// SetDown sets whether the platform refuses every call.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale sets whether the platform keeps serving the present revision and values, whatever is published later.
// SetStale(false) makes it serve the newest again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served = nil
	if stale {
		p.served = &Platform{revision: p.revision, values: maps.Clone(p.values)}
	}
}

// SetServedRevision makes the platform serve the values of an earlier revision until SetStale is called.
func (p *Platform) SetServedRevision(r modeler.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served = &Platform{revision: r, values: p.valuesAt[r]}
}

// Calls returns the number of calls received, including the refused ones.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// countAndRefuse counts the calls to next and refuses them while the platform is down.
func (p *Platform) countAndRefuse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		down := p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// visibleValues returns the revision and the values that readers get. p.mu must be held.
func (p *Platform) visibleValues() (modeler.Revision, map[string]storedValue) {
	if p.served != nil {
		return p.served.revision, p.served.values
	}
	return p.revision, p.values
}

// handleDirectory answers with the visible revision and that of every key. With the parameter after it first waits for a
// later revision, as a long poll.
func (p *Platform) handleDirectory(w http.ResponseWriter, r *http.Request) {
	if after := r.URL.Query().Get("after"); after != "" {
		n, _ := strconv.ParseUint(after, 10, 64)
		p.waitForRevision(r.Context(), modeler.Revision(n))
	}
	p.mu.Lock()
	rev, values := p.visibleValues()
	d := watcher.Directory{Revision: rev, Keys: map[string]modeler.Revision{}}
	for k, v := range values {
		d.Keys[k] = v.revision
	}
	down := p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	server.WriteJSON(w, http.StatusOK, d)
}

// waitForRevision returns when readers can see a revision later than after, the platform is down, or the long poll
// times out. While it waits, only Publish and SetDown make it look again; SetStale and SetServedRevision do not.
func (p *Platform) waitForRevision(ctx context.Context, after modeler.Revision) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		rev, _ := p.visibleValues()
		changed, down := p.changed, p.down
		p.mu.Unlock()
		if rev > after || down {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Platform) handleValue(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	_, values := p.visibleValues()
	v, ok := values[mux.Vars(r)["key"]]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(watcher.HeaderRevision, strconv.FormatUint(uint64(v.revision), 10))
	_, _ = w.Write(v.text)
}

func (p *Platform) handleVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	l := p.listing
	p.mu.Unlock()
	if l.VMs == nil {
		l.VMs = []modeler.VM{}
	}
	server.WriteJSON(w, http.StatusOK, l)
}

// Revision returns the newest revision, even while readers get an older one.
func (p *Platform) Revision() modeler.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}
