package runner

import "time"

// Bounds and defaults of the settings.
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
	MinFleet            = 8
	UnknownFleet        = 100
	LearnPeriod         = 2 * time.Second
	SettlePeriod        = 12 * time.Second
	MinKillAfter        = 2 * time.Second
	LeaveMargin         = 800 * time.Millisecond
	LapseHold           = 2200 * time.Millisecond
	DrainMargin         = 600 * time.Millisecond
)

// Bounds of what a VM asks of its peers.
const (
	JoinTimeout    = time.Second
	SeedsTimeout   = 2 * time.Second
	SeedsPeriod    = 100 * time.Millisecond
	MissingShare   = 10
	JoinPeers      = 3
	LonelyPeriod   = 400 * time.Millisecond
	PullTimeout    = 2 * time.Second
	AdoptTimeout   = 2 * time.Second
	HandoverWait   = 10 * time.Millisecond
	DrainingPeriod = time.Minute
	LeaveLinger    = 700 * time.Millisecond

	StoreLostPeriod  = 5 * time.Second
	WarmAtOnce       = 16
	WarmTimeout      = 500 * time.Millisecond
	DeletedMemory    = 10 * time.Minute
	ShortIdle        = time.Second
	RouteLeaveLinger = 150 * time.Millisecond
)

// Bounds of the regular work of a VM.
const (
	UpkeepPeriod  = time.Second
	PingTimeout   = 400 * time.Millisecond
	PingsAtOnce   = 32
	TicketsPeriod = 60
)
