package dialer

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Call is one request to a searcher.
type Call struct {
	Address  netip.AddrPort
	Path     string
	Request  modeler.RequestID
	Attempt  string
	Index    modeler.IndexName
	Shard    modeler.ShardName
	Snapshot modeler.SnapshotID
	Deadline time.Time
	Body     []byte
	// ProvenOnly excludes idle connections that were not read from within ProvenPeriod.
	ProvenOnly bool
	// NewConnection excludes idle connections.
	// A call that waits for the budget may still get a connection that another call has just put back.
	NewConnection bool
	// Linger is how long Do still waits for the answer after its context has ended.
	Linger time.Duration
	// MaxBodyBytes limits the body of the answer, in bytes; 0 means MaxAnswerBytes.
	MaxBodyBytes int
	// ExpectedSearcher is the searcher that should have the address.
	ExpectedSearcher modeler.SearcherName
	// Allowed is asked right before the request is written, and by Dialer.TurnBackWaiters while the call waits for a
	// connection; nil allows it. The searcher may have begun to leave since it was picked, or have asked for no requests.
	Allowed func() bool
	// Message is the caller's request, for wires that pass it on.
	Message *Message

	onNewConn bool // set by Do: no other call has used the connection
}

func (c *Call) maxBodyBytes() int {
	if c.MaxBodyBytes == 0 {
		return MaxAnswerBytes
	}
	return c.MaxBodyBytes
}

// Message is the part of a caller's request that is passed on unchanged.
type Message struct {
	Method string
	Target string
	Host   string
	Header http.Header
}

// Reply is the result of a call.
type Reply struct {
	Fault    gatherer.Fault
	Body     []byte
	Draining bool
	Leaving  bool                 // the searcher leaves, and says so in all its answers from now on
	Withheld bool                 // Call.Allowed did not allow the request, or the VM dropped the searcher's connections
	Held     []modeler.SnapshotID // snapshots of the call's index that the searcher holds; nil if it did not say
	Late     bool                 // the deadline had passed before the request was sent or run
	Limit    modeler.RateLimit    // as the searcher states it in this answer
	// RetryAfter is how long the searcher wants no requests from this VM after it has refused this one; 0 if it didn't say.
	RetryAfter time.Duration
	AtLimit    bool // the searcher reset the new connection because other clients hold all that it allows
	Use        ConnUse
	AliveAt    time.Time // before the request was sent: when the searcher was last known to be alive, by this connection
	Err        error

	// NativeWire leaves these empty.
	Status      int
	Signature   string
	ContentType string
}

// ConnUse identifies one use of a connection, for logs; it is zero if the request was not sent.
type ConnUse struct {
	Local  netip.AddrPort // the VM's end of the connection
	Number int            // 1 for the first request on the connection
}

// String returns the use as "address#number".
func (u ConnUse) String() string { return u.Local.String() + "#" + strconv.Itoa(u.Number) }

// idlePolicy returns which idle connections the call may use.
func (c *Call) idlePolicy() idlePolicy {
	switch {
	case c.NewConnection:
		return newOnly
	case c.ProvenOnly:
		return provenIdle
	}
	return anyIdle
}
