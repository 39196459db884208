package watcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// inForceLimit is within what time a change has to be in force at every VM.
const inForceLimit = 7 * time.Second

// silentService is a configuration service with one key, whose value has the revision of the directory. It answers no
// watch, and after the first change also no answer to as many reads as silentReads says.
type silentService struct {
	revision    atomic.Uint64
	silentReads atomic.Int32
	watching    chan struct{} // receives once for each watch
}

func (s *silentService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	revision := strconv.FormatUint(s.revision.Load(), 10)
	switch {
	case r.URL.Query().Has("after"):
		s.watching <- struct{}{}
		<-r.Context().Done()
	case revision != "1" && s.silentReads.Add(-1) >= 0:
		<-r.Context().Done()
	case r.URL.Path == "/v1/keys":
		_, _ = w.Write([]byte(`{"revision":` + revision + `,"keys":{"team":` + revision + `}}`))
	default:
		w.Header().Set(HeaderRevision, revision)
		_, _ = w.Write([]byte("{}"))
	}
}

// Guards against a change that is in force late, or not before the next one, because the watch that should have told of it
// went to a stale copy of the service or over a connection that has gone silent.
func TestChangeThatAWatchMissesIsInForceInTime(t *testing.T) {
	for name, silentReads := range map[string]int32{"watch": 0, "watch and the read after it": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := &silentService{watching: make(chan struct{}, 100)}
			service.revision.Store(1)
			service.silentReads.Store(silentReads)
			l := httptest.NewServer(service)
			t.Cleanup(l.Close)
			client := NewClient(netip.MustParseAddrPort(l.Listener.Addr().String()), func() {})
			t.Cleanup(client.Close)
			w := &Watcher{
				Client: client, Store: configurer.NewStore(), IsReader: func() bool { return true }, VMCount: func() int { return 1 },
				Changed: func(configurer.Result) {},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := spawner.Go(ctx, w.Run)
			t.Cleanup(func() {
				cancel()
				<-done
			})
			<-service.watching
			service.revision.Store(2)
			deadline := time.Now().Add(inForceLimit)
			for w.Store.Head().Revision != 2 {
				if time.Now().After(deadline) {
					t.Fatalf("revision %d %v after a change to 2", w.Store.Head().Revision, inForceLimit)
				}
				spawner.Sleep(ctx, 10*time.Millisecond)
			}
		})
	}
}
