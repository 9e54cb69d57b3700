// Command standin plays a case of the review: it starts VMs of the system as processes,
// with stand-ins of the store, the servers and the clients, and checks one rule.
//
// # Usage
//
//	standin leavers review/2/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case and returns whether the rule was broken.
type play func(log *record, trouble bool) (bool, error)

var cases = map[string]play{
	"leavers": playLeavers,
	"upload":  playUpload,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	log, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, with disruption: %t", arguments[0], trouble)
	broken, err := cases[arguments[0]](log, trouble)
	switch {
	case err != nil:
		log.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		log.printf("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	default:
		log.printf("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
