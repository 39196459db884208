// Package gossiper holds the membership of the tier (SWIM: Das, Gupta, Motivala 2002; Lifeguard: Dadgar et al. 2017) and spreads news among its VMs.
package gossiper
