// Command bergamotroad steers the traffic of many organisations to the backend
// servers of several regions.
package main

import (
	"os"

	"bergamotroad.example/bergamotroad/internal/command/brcommand"
)

func main() {
	os.Exit(brcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
