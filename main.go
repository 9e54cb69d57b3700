// Command bergamotroad routes the requests of many organisations to backend servers
// in several regions.
package main

import (
	"os"

	"bergamotroad.example/bergamotroad/internal/command/brcommand"
)

func main() {
	os.Exit(brcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
