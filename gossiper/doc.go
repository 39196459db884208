// Package gossiper keeps the membership of the tier and spreads news among its VMs.
// The protocol is SWIM (Das, Gupta, Motivala 2002) with local health from Lifeguard (Dadgar et al. 2017).
// A probe here is SWIM's: a VM pings another VM of the tier. Searchers are not probed here.
package gossiper
