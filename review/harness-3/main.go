// Command harness3 runs the cases of the third review that are scripts. It starts the project's
// own program as separate processes on loopback addresses, with stand-ins of the platform's
// store, of servers and of clients.
//
// Usage: harness3 CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(*deployment, *record, bool) (bool, error){
	"drill":    drill,
	"pipeline": pipeline,
	"rollout":  rollout,
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecord(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(arguments[1])
	if err != nil {
		rec.say("can't run: %v", err)
		return exitFailed
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", arguments[0], trouble)
	broken, err := cases[arguments[0]](d, rec, trouble)
	if err != nil {
		rec.say("can't run: %v", err)
		return exitFailed
	}
	rec.say("%s", describe(broken))
	if broken {
		return exitBroken
	}
	return exitHeld
}
