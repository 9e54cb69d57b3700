// Package brseed sets a fixed seed for rapid's property tests, so that test runs of
// the same revision always give the same result.
//
// # Usage
//
//	import _ "bergamotroad.example/bergamotroad/internal/standin/brseed"
//
// The flag -rapid.seed on the command line overrides the fixed seed.
package brseed

import (
	"flag"

	// Registers the flag that is set in init.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
