package runner

import "time"

// Limits and defaults of the settings, and periods that follow from them.
const (
	MinKeyBytes         = 16
	MaxRelayWidth       = 16
	MaxTimelineEvents   = 1 << 20
	MaxGrace            = 5 * time.Minute
	DefaultGrace        = 10 * time.Second
	DefaultDrainDelay   = 2 * time.Second
	DefaultReturnMargin = time.Millisecond
	DefaultListPeriod   = 5 * time.Second
	DefaultEvents       = 1 << 14
	MinFleetSize        = 8                // smallest fleet size that sharerCount assumes
	UnknownFleetSize    = 100              // assumed fleet size while the members may not all be known
	LearnPeriod         = 2 * time.Second  // after it, the members count as known
	SettlePeriod        = 12 * time.Second // after it, searchers no longer count connections of earlier incarnations
	MinKillAfter        = 2 * time.Second
	LeaveMargin         = 800 * time.Millisecond  // part of kill-after left for leaving once the grace is over
	MaxRegistrationHold = 2200 * time.Millisecond // longest use of a searcher after its registration lapsed
	DrainMargin         = 600 * time.Millisecond  // part of drain-within left after a registration's hold period
)

// Limits on the calls to other VMs, and on the connections opened ahead of requests.
const (
	JoinTimeout         = time.Second
	SeedTimeout         = 2 * time.Second
	SeedRetryPeriod     = 100 * time.Millisecond
	MissingDivisor      = 10 // members are exchanged every gossiper.Period while one VM in so many is missing
	MaxJoinPeers        = 3
	IsolatedSyncPeriod  = 400 * time.Millisecond // members are exchanged so often while no other VM is known to be alive
	PullTimeout         = 2 * time.Second
	AdoptTimeout        = 2 * time.Second
	HandoverRetryPeriod = 10 * time.Millisecond
	DrainingNewsTTL     = time.Minute
	LeaveDelay          = 700 * time.Millisecond // time that gossip gets to spread the VM's departure

	StoreLostPeriod      = 5 * time.Second // time for which a VM counts as unable to read the store after it said so
	MaxConcurrentWarms   = 16
	WarmTimeout          = 500 * time.Millisecond
	DeletedKeyRetention  = 10 * time.Minute
	NonHolderIdleTimeout = time.Second            // connections that this VM may not keep open close after this idle time
	RouteLeaveDelay      = 150 * time.Millisecond // like LeaveDelay, for a VM that serves routes
)

// Limits on the periodic work of a VM.
const (
	UpkeepPeriod       = time.Second
	PingTimeout        = 400 * time.Millisecond
	MaxConcurrentPings = 32
	TicketSweepRounds  = 60 // old tickets are forgotten once in so many upkeep periods
)
