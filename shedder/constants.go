package shedder

import "time"

// Bounds of what counts as overloaded. A service is overloaded as far as the least queueing delay of its latest answers takes up the time that a query has.
const (
	Samples     = 6               // answers that must agree
	SampleAge   = 2 * time.Second // older ones say nothing
	ShortFrom   = 0.15            // share of the time that queries may lose in the queue of a service that is not overloaded
	FullFrom    = 0.5             // share from which all but the trial queries leave the service out
	MostLeftOut = 0.9             // the rest are trials that find out when the overload is over
	MostDue     = 2.0             // queries that may be left out late, when others had to be left out first
	BaseWindow  = 15 * time.Second
)
