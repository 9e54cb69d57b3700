// Package brseed fixes the seed of property tests, so that a run on one
// revision always gives the same verdict.
//
// # Usage
//
//	import _ "bergamotroad.example/bergamotroad/internal/standin/brseed"
//
// The flag -rapid.seed on the command line goes before the fixed seed.
package brseed

import (
	"flag"

	// The flag that is set here is registered by rapid.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
