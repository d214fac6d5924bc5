// Command cases plays the scripted cases of the second review: it starts the daemons as separate
// processes on loopback addresses, with stand-ins for the platform, clients and targets, brings
// about one disruption, and checks a rule by what clients and targets see.
//
// # Usage
//
//	cases --case 6 --binary target/jaytackd --record record.txt
//	TROUBLE=0 cases --case 6 --binary target/jaytackd --record record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// maxRunTime is less than the time that a script may take.
const maxRunTime = 110 * time.Second

// scenario plays one case. trouble is false if the disruption is left out.
type scenario func(f *fleet, trouble bool) error

func main() {
	number := flag.Int("case", 0, "number of the case")
	binary := flag.String("binary", "target/jaytackd", "the daemons' program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder for the daemons' logs, if they are to be kept")
	flag.Parse()
	time.AfterFunc(maxRunTime, func() {
		// The daemons end with this process.
		fmt.Fprintln(os.Stderr, "cases: the case takes too long")
		os.Exit(2)
	})
	breaks, err := play(*number, *binary, *path, *logs, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "cases:", err)
		os.Exit(2)
	case len(breaks) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(breaks), breaks[0])
		os.Exit(1)
	}
	fmt.Println("held")
}

// play plays a case and returns the breaks of rules.
func play(number int, binary, path, logs string, trouble bool) ([]string, error) {
	c, ok := cases[number]
	if !ok {
		return nil, fmt.Errorf("there is no case %d", number)
	}
	rec, err := newRecord(path)
	if err != nil {
		return nil, err
	}
	f, err := newFleet(rec, binary, c.layout)
	if err != nil {
		return nil, err
	}
	defer f.close(logs)
	if err := f.start(); err != nil {
		return nil, err
	}
	if err := c.play(f, trouble); err != nil {
		return nil, err
	}
	return rec.broken(), nil
}

// smallLayout returns the machines of a small deployment.
func smallLayout(lifetime, idle time.Duration) layout {
	return layout{zones: 3, frontsPerZone: 1, targets: map[string]int{"padron": 2, "recuento": 1}, flowLifetime: lifetime, idleTimeout: idle}
}

// cases holds the cases by their number.
var cases = map[int]struct {
	layout layout
	play   scenario
}{
	6: {smallLayout(flowLifetime, idleTimeout), playMissingEntries},
	7: {smallLayout(flowLifetime, idleTimeout), playOddHeartbeat},
	8: {
		layout{
			zones: 3, frontsPerZone: 2, targets: map[string]int{"padron": 2, "recuento": 1}, spare: "padron",
			flowLifetime: flowLifetime, idleTimeout: idleTimeout,
		}, playClockAhead,
	},
	9: {
		layout{
			zones: 3, frontsPerZone: 1, targets: map[string]int{"padron": 2, "recuento": 1}, spare: "padron",
			flowLifetime: flowLifetime, idleTimeout: idleTimeout,
		}, playHeldHeartbeat,
	},
}
