// Package shedder decides which shards a query leaves out because their services are overloaded.
package shedder
