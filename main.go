// Command pistachiogap is a query tier between callers and the searchers of an index spread over many shards.
package main

import (
	"os"

	"github.com/pistachiogap/pistachiogap/commander"
)

func main() { os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr)) }
