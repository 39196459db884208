package shedder

import "time"

// Constants of overload detection. The queue share of an answer is its queueing delay as a share of the time that its
// query could spend in a queue. A service is overloaded if the least queue share of its latest SampleCount answers is
// above OverloadThreshold. If one of these answers is older than MaxSampleAge, the service does not count as overloaded.
const (
	SampleCount           = 6
	MaxSampleAge          = 2 * time.Second
	OverloadThreshold     = 0.15 // queue share up to which no query leaves the service out
	FullOverloadThreshold = 0.5  // queue share from which all queries but the trials leave the service out
	MaxLeftOut            = 0.9  // share of queries; the others are trials, which detect the end of the overload
	// MaxCredit limits the credit of a service: how many queries should have left it out but could not, because they
	// had reached their limit with other services.
	MaxCredit = 2.0
	// BaseWindow is the length of a window for measuring the time to answer without a queue, which is the least latency
	// in the current and the previous window.
	BaseWindow = 15 * time.Second
)
