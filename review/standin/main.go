// Command standin runs the cases of the review that are scripts.
//
// It starts the daemons of the deploy file as processes on loopback addresses and plays
// their surroundings: the platform's store and routers, clients, and the targets beside
// the agents.
//
// # Usage
//
//	target/review-standin idle-flow review/1/record.txt
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run. With TROUBLE=0 in the environment the case runs without its
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// cases maps the names of the cases to the functions that play them. A function returns
// the breaches of the rule.
var cases = map[string]func(f *fleet, trouble bool) (breaches []string, err error){
	"idle-flow":      playIdleFlow,
	"clock-restart":  playClockRestart,
	"route-move":     playRouteMove,
	"late-heartbeat": playLateHeartbeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(name, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer rec.close()
	rec.add("case", "name", name, "trouble", trouble)
	f, err := newFleet(rec)
	if err != nil {
		rec.add("failed", "reason", err)
		return exitFailed
	}
	defer f.close()
	giveUp := func(reason string) {
		rec.add("failed", "reason", reason)
		f.close()
		rec.close()
		os.Exit(exitFailed)
	}
	watchdog := time.AfterFunc(maxRunTime, func() { giveUp("the case took too long") })
	defer watchdog.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { giveUp("stopped by " + (<-stop).String()) }()
	breaches, err := cases[name](f, trouble)
	for _, b := range breaches {
		rec.add("BROKEN", "what", b)
	}
	switch {
	case err != nil:
		rec.add("failed", "reason", err)
		return exitFailed
	case len(breaches) > 0:
		return exitBroken
	}
	rec.add("held")
	return exitHeld
}
