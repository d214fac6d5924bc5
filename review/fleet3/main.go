// Command fleet3 plays the script cases of the review: the project's daemons as processes, with
// stand-ins of the store, targets, clients and routers on loopback addresses.
//
// # Usage
//
//	fleet3 CASE RECORD DAEMON
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 leaves out the disruption. KEEP=1 keeps the logs of the daemons.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: fleet3 CASE RECORD DAEMON")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// cases holds the scripts by name.
var cases = map[string]func(f *fleet, trouble bool) error{
	"lateheartbeat": lateHeartbeat,
	"latelabel":     lateLabel,
	"gonehome":      goneHome,
	"oddservice":    oddService,
	"aheadstart":    aheadStart,
}

func run(name, path, daemon string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec := newRecord()
	f, err := newFleet(rec, daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	played := make(chan error, 1)
	go func() { played <- play(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-played:
	case <-time.After(maxDuration):
		err = fmt.Errorf("not done after %v", maxDuration)
	}
	f.close(os.Getenv("KEEP") == "1")
	if err != nil {
		rec.printf("could not run: %v", err)
	}
	if writeErr := rec.write(path); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return 2
	}
	switch {
	case err != nil:
		return 2
	case rec.isBroken():
		return 1
	}
	return 0
}
