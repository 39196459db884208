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
	watchLimit    = 25 * time.Second
	platformGrace = 100 * time.Millisecond
)

type stored struct {
	revision modeler.Revision
	text     []byte
}

// Platform is a stand-in for the platform's configuration service and its list of VMs.
type Platform struct {
	Address netip.AddrPort

	mu       sync.Mutex
	revision modeler.Revision
	values   map[string]stored
	frozen   *Platform
	listing  modeler.Listing
	down     bool
	past     map[modeler.Revision]map[string]stored
	changed  chan struct{}
	calls    int
	end      context.CancelFunc
	done     <-chan error
}

// StartPlatform serves an empty platform on the address until the context ends.
func StartPlatform(ctx context.Context, addr netip.AddrPort) (*Platform, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Address: l.Addr().(*net.TCPAddr).AddrPort(), values: map[string]stored{}, past: map[modeler.Revision]map[string]stored{}, changed: make(chan struct{}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/keys", p.directory)
	r.HandleFunc("/v1/keys/{key}", p.value)
	r.HandleFunc("/v1/vms", p.vms)
	ctx, p.end = context.WithCancel(ctx)
	p.done = spawner.Go(ctx, func(ctx context.Context) error {
		return server.Serve(ctx, server.NewHTTPServer(p.gate(r)), l, platformGrace)
	})
	return p, nil
}

// Stop ends the platform.
func (p *Platform) Stop() {
	p.end()
	<-p.done
}

// Publish stores a value under a key and returns its revision.
func (p *Platform) Publish(key string, text []byte) modeler.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = stored{p.revision, text}
	p.past[p.revision] = maps.Clone(p.values)
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

// SetDown makes the platform refuse every call, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale makes the platform answer as it stands now whatever is published, or truthfully again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if stale {
		p.frozen = &Platform{revision: p.revision, values: maps.Clone(p.values)}
	}
}

// SetBack makes the platform answer as it stood at an earlier revision.
func (p *Platform) SetBack(r modeler.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = &Platform{revision: r, values: p.past[r]}
}

// Calls returns how many calls were counted.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) gate(next http.Handler) http.Handler {
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

// seen returns the revision and the values that readers are shown; the caller holds the lock.
func (p *Platform) seen() (modeler.Revision, map[string]stored) {
	if p.frozen != nil {
		return p.frozen.revision, p.frozen.values
	}
	return p.revision, p.values
}

func (p *Platform) directory(w http.ResponseWriter, r *http.Request) {
	if after := r.URL.Query().Get("after"); after != "" {
		n, _ := strconv.ParseUint(after, 10, 64)
		p.wait(r.Context(), modeler.Revision(n))
	}
	p.mu.Lock()
	rev, values := p.seen()
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
	server.Write(w, http.StatusOK, d)
}

func (p *Platform) wait(ctx context.Context, after modeler.Revision) {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	for {
		p.mu.Lock()
		rev, _ := p.seen()
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

func (p *Platform) value(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	_, values := p.seen()
	v, ok := values[mux.Vars(r)["key"]]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(watcher.HeaderAt, strconv.FormatUint(uint64(v.revision), 10))
	_, _ = w.Write(v.text)
}

func (p *Platform) vms(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	l := p.listing
	p.mu.Unlock()
	if l.VMs == nil {
		l.VMs = []modeler.VM{}
	}
	server.Write(w, http.StatusOK, l)
}

// Revision returns the newest revision, whatever readers are shown.
func (p *Platform) Revision() modeler.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}
