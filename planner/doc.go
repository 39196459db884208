// Package planner builds a view of the configuration in force, and plans queries on it: it pins the snapshot that a
// query reads, picks a replica for each shard, and ranks the VMs that act as relays for a group of
// services.
package planner
