// Package planner builds the view of the configuration in force, pins snapshots, picks replicas and decides which VM owns what.
package planner
