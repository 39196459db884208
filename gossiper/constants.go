package gossiper

import "time"

// Bounds of the membership protocol.
const (
	Period          = time.Second
	ProbeTimeout    = 300 * time.Millisecond
	TickPeriod      = 100 * time.Millisecond
	SuspicionFactor = 4.0
	IsolatedAfter   = 1500 * time.Millisecond
	PauseLimit      = 2 * time.Second
	IndirectProbes  = 3
	FanOut          = 4
	RumorRounds     = 3
	RumorPeriod     = 200 * time.Millisecond
	RepeatFactor    = 2.0
	MinRepeats      = 8
	DeadMemory      = 2 * time.Minute
	MaxHealth       = 8
	MaxPacketBytes  = 1200
	MaxMembers      = 12
	MaxNews         = 12
	MaxHeirs        = 4
	MemberBytes     = 72
	BytesPerSecond  = 3000
	BurstBytes      = 24_000
	SyncBuckets     = 64
	SyncPeriod      = 30 * time.Second
	authBytes       = 16
)
