package gossiper

import "time"

// Bounds of the membership protocol.
const (
	// Period is the time between two probes that a VM sends, and the time after which an unanswered probe makes its
	// target a suspect.
	Period = time.Second
	// ProbeTimeout is how long a direct probe may stay unanswered before indirect probes are sent.
	ProbeTimeout = 300 * time.Millisecond
	// TickPeriod is the time between two calls of Node.Tick.
	TickPeriod = 100 * time.Millisecond
	// SuspicionFactor times Period times the decimal logarithm of the fleet size is how long a suspect has to refute.
	// A logarithm below 1 is raised to 1.
	SuspicionFactor = 4.0
	// IsolatedAfter is the time without any packet after which a VM counts as isolated.
	IsolatedAfter = 1500 * time.Millisecond
	// PauseLimit is the longest gap between two ticks that does not count as a pause of the process.
	PauseLimit = 2 * time.Second
	// IndirectProbes is how many members are asked to probe a member that does not answer.
	IndirectProbes = 3
	// FanOut is how many random members get urgent rumors in one round.
	FanOut = 4
	// RumorRounds is how many such rounds follow an urgent change.
	RumorRounds = 3
	// RumorPeriod is the time between two rounds, and the least time between two pulls of the configuration.
	RumorPeriod = 200 * time.Millisecond
	// RetransmitFactor times the natural logarithm of the fleet size is how often a VM sends a rumor.
	RetransmitFactor = 2.0
	// MinTransmissions is how often a VM sends a rumor at least.
	MinTransmissions = 8
	// DeadRetention is how long a member that is dead or left is kept, so that an old rumor cannot add it again.
	DeadRetention = 2 * time.Minute
	// MaxHealthScore is the worst health score of a VM. The timeouts of its probes are then 1+MaxHealthScore times as
	// long.
	MaxHealthScore = 8
	// MaxPacketBytes bounds the encoded packet without its authentication code.
	MaxPacketBytes = 1200
	// MaxMembers, MaxNews and MaxSuccessors bound the entries of each type in a packet.
	MaxMembers    = 12
	MaxNews       = 12
	MaxSuccessors = 4
	// MemberBytes is the approximate encoded size of a Member.
	MemberBytes = 72
	// BytesPerSecond and BurstBytes are the rate and the size of the token bucket. Every packet uses tokens and is sent
	// even if none are left; an empty bucket only keeps rumors out of the packet.
	BytesPerSecond = 3000
	BurstBytes     = 24_000
	// SyncBuckets is the number of member digests that two VMs compare.
	SyncBuckets = 64
	// SyncPeriod is the longest wait between two comparisons of a VM's members with those of a peer. The runner waits for
	// a random time from half of it to all of it, and for less while many members are missing.
	SyncPeriod = 30 * time.Second
	// MaxSlowValidity is how long news of a slow searcher is valid at most, whatever the sender's time of day.
	MaxSlowValidity = 5 * time.Second
	// MinSlowExtension is by how much such news must extend the validity of the copy known to be spread again.
	MinSlowExtension = time.Second
	// ConfirmStep is by how much a VM's configuration must be confirmed later than when the VM last spread that, for it to
	// do so again; it then tells ConfirmFanOut random members.
	ConfirmStep   = 600 * time.Millisecond
	ConfirmFanOut = 2
	// EpochlessPeriod is how long after a packet without an epoch a VM counts VMs that know none as running.
	EpochlessPeriod = 10 * time.Second
	// maxConfirmAgeMillis bounds the age that a packet may state.
	maxConfirmAgeMillis = 3_600_000
	// macBytes is the length of the truncated authentication code at the end of a datagram.
	macBytes = 16
)
