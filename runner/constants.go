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
	MinMemoryMB         = 32
	DefaultMemoryMB     = 256
	IntakeDivisor       = 8  // part of the memory that callers' requests may hold together while they are received and served
	AnswerDivisor       = 16 // part of the memory that searchers' large answers may take together while they are read
	MinDescriptors      = 300
	DefaultDescriptors  = 4096
	FileDescriptors     = 200              // descriptors that are not for sockets
	OthersDivisor       = 4                // part of the sockets that callers' connections leave to others
	MinFleetSize        = 8                // smallest fleet size that sharerCount assumes
	UnknownFleetSize    = 100              // assumed fleet size while the members may not all be known
	LearnPeriod         = 2 * time.Second  // after this time from its start, a VM counts the members as known
	SettlePeriod        = 12 * time.Second // after this time, searchers no longer count an earlier incarnation of the fleet
	MinKillAfter        = 2 * time.Second
	LeaveMargin         = 800 * time.Millisecond  // part of kill-after left for leaving once the grace is over
	MaxRegistrationHold = 2200 * time.Millisecond // longest use of a searcher once its registration is deleted or leaving
	DrainMargin         = 600 * time.Millisecond  // part of drain-within left after a registration's hold period
)

// Limits on the calls to other VMs and to the platform's store, on leaving, and on the connections to searchers.
const (
	// JoinTimeout bounds one exchange of members, and the first read of the configuration. In joinRouting it also covers
	// asking peers if the read fails.
	JoinTimeout         = time.Second
	SeedTimeout         = 2 * time.Second
	SeedRetryPeriod     = 100 * time.Millisecond
	MissingDivisor      = 10 // members are exchanged every gossiper.Period while at least one VM in this many is missing
	MaxJoinPeers        = 3
	IsolatedSyncPeriod  = 400 * time.Millisecond // period of the exchange of members while no other VM is known to be alive
	PullTimeout         = 2 * time.Second
	AdoptTimeout        = 2 * time.Second
	HandoverRetryPeriod = 10 * time.Millisecond
	DrainingNewsTTL     = time.Minute
	LeaveDelay          = 700 * time.Millisecond // time that gossip gets to spread the VM's departure

	StoreLostPeriod      = 5 * time.Second // how long an announced loss of the store counts
	MaxConcurrentWarms   = 16
	WarmTimeout          = 500 * time.Millisecond
	DeletedKeyRetention  = 10 * time.Minute
	NonHolderIdleTimeout = time.Second            // connections that this VM may not keep open close after this idle time
	RouteLeaveDelay      = 150 * time.Millisecond // replaces LeaveDelay on a VM that serves routes
)

// Limits on the periodic work of a VM.
const (
	UpkeepPeriod       = time.Second
	TurnBackPeriod     = 100 * time.Millisecond // of requests that wait for a connection
	PingTimeout        = 400 * time.Millisecond
	MaxConcurrentPings = 32
	TicketSweepRounds  = 60 // the records of old tickets are removed once per this many upkeep periods
)
