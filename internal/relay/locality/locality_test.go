package locality_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/relay/locality"
)

const (
	tick        = 50 * time.Millisecond
	serviceTime = 25 * time.Millisecond
	rtt         = 6 * time.Millisecond
)

// group returns ten upstreams of two slots with a load per slot.
func group(load float64, age time.Duration) locality.Group {
	return locality.Group{Upstreams: 10, Slots: 20, Requests: 20 * load, Age: age}
}

func inputs(local, remote float64, age time.Duration) locality.Inputs {
	return locality.Inputs{
		Local: group(local, tick), ServiceTime: serviceTime,
		Remotes: []locality.Remote{{DataCentre: "b", Group: group(remote, age), RoundTrip: rtt}},
	}
}

// replay updates a controller at every tick and returns a line for each change.
func replay(until time.Duration, in func(at time.Duration) locality.Inputs) (lines []string, shares []locality.Share) {
	c := locality.New()
	for at := tick; at <= until; at += tick {
		for _, x := range c.Update(instant.Instant(at), in(at)) {
			lines = append(lines, fmt.Sprintf("%v %s %v to %v %s saved %v local %.2f remote %.2f",
				at, x.DataCentre, x.Before, x.After, x.Reason, x.Saved.Round(time.Millisecond), x.LocalLoad, x.RemoteLoad))
		}
		shares = append(shares, c.Share("b"))
	}
	return lines, shares
}

// TestShares guards against a change in when shares move: the lines of each pattern are
// compared with a golden file.
func TestShares(t *testing.T) {
	patterns := []struct {
		name string
		in   func(at time.Duration) locality.Inputs
	}{
		{"Calm", func(time.Duration) locality.Inputs { return inputs(0.6, 0.6, 300*time.Millisecond) }},
		{"EveryoneIsFull", func(time.Duration) locality.Inputs { return inputs(4, 4, 300*time.Millisecond) }},
		{"QueueOfAMoment", func(at time.Duration) locality.Inputs {
			if at >= time.Second && at < 1200*time.Millisecond {
				return inputs(3, 0.6, 300*time.Millisecond)
			}
			return inputs(0.6, 0.6, 300*time.Millisecond)
		}},
		{"ShortForFiveSeconds", func(at time.Duration) locality.Inputs {
			if at >= time.Second && at < 6*time.Second {
				return inputs(4, 0.6, 300*time.Millisecond)
			}
			return inputs(0.6, 0.6, 300*time.Millisecond)
		}},
		{"ShortEveryOtherSecond", func(at time.Duration) locality.Inputs {
			if at/time.Second%2 == 1 {
				return inputs(4, 0.6, 300*time.Millisecond)
			}
			return inputs(0.6, 0.6, 300*time.Millisecond)
		}},
		{"AllLocalUpstreamsEnd", func(at time.Duration) locality.Inputs {
			in := inputs(0.6, 0.6, 300*time.Millisecond)
			if at >= time.Second && at < 3*time.Second {
				in.Local = locality.Group{}
			}
			return in
		}},
		{"NoLocalUpstreamForATick", func(at time.Duration) locality.Inputs {
			in := inputs(0.6, 0.6, 300*time.Millisecond)
			if at == time.Second || at == 2*time.Second {
				in.Local = locality.Group{}
			}
			return in
		}},
		{"CutOff", func(at time.Duration) locality.Inputs {
			if at < 4*time.Second {
				return inputs(4, 0.6, 300*time.Millisecond)
			}
			return inputs(4, 0.6, at-4*time.Second+300*time.Millisecond)
		}},
		{"RemoteIsEvacuated", func(at time.Duration) locality.Inputs {
			in := inputs(4, 0.6, 300*time.Millisecond)
			if at >= 3*time.Second {
				in.Remotes[0].Group = locality.Group{}
			}
			return in
		}},
		{"RoundTripUnknown", func(at time.Duration) locality.Inputs {
			in := inputs(4, 0.6, 300*time.Millisecond)
			if at < time.Second || at >= 4*time.Second {
				in.Remotes[0].RoundTrip = 0
			}
			return in
		}},
		{"SlowRequestsWithFreeSlots", func(time.Duration) locality.Inputs {
			in := inputs(0.9, 0.1, 300*time.Millisecond)
			in.ServiceTime = 100 * time.Millisecond
			return in
		}},
		{"SlowRequestsWithoutFreeSlots", func(time.Duration) locality.Inputs {
			in := inputs(1.5, 0.1, 300*time.Millisecond)
			in.ServiceTime = 100 * time.Millisecond
			return in
		}},
		{"TooFarAway", func(time.Duration) locality.Inputs {
			in := inputs(4, 0.6, 300*time.Millisecond)
			in.Remotes[0].RoundTrip = 200 * time.Millisecond
			return in
		}},
	}
	var out strings.Builder
	for _, p := range patterns {
		lines, _ := replay(10*time.Second, p.in)
		fmt.Fprintf(&out, "%s\n", p.name)
		for _, l := range lines {
			fmt.Fprintf(&out, "  %s\n", l)
		}
	}
	const golden = "testdata/shares.golden"
	if os.Getenv("JAYTACK_UPDATE") != "" {
		qt.Assert(t, os.WriteFile(golden, []byte(out.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, string(want))
}

// TestRecordedInputs guards against shares that move faster than their effects are known,
// with the loads and ages that a home in the simulation had in ten seconds of 2.5 times the
// demand of its upstreams.
func TestRecordedInputs(t *testing.T) {
	recorded := readInputs(t, "testdata/inputs.txt")
	c := locality.New()
	last := make(map[string]time.Duration)
	for _, r := range recorded {
		for _, x := range c.Update(instant.Instant(r.at), r.Inputs) {
			if before, ok := last[x.DataCentre]; ok {
				qt.Check(t, r.at-before >= x.Remote.Age, qt.IsTrue, qt.Commentf("%v: %+v", r.at, x))
			}
			qt.Check(t, x.After-x.Before <= locality.UpStep && x.Before-x.After <= locality.DownStep, qt.IsTrue, qt.Commentf("%v: %+v", r.at, x))
			last[x.DataCentre] = r.at
		}
	}
	qt.Assert(t, len(last) > 0, qt.IsTrue)
}

type recordedInputs struct {
	at time.Duration
	locality.Inputs
}

// readInputs reads lines of a time, the service time, the local group, and for each other
// data centre its name, group and round trip; durations are in microseconds.
func readInputs(t *testing.T, file string) (out []recordedInputs) {
	f, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Split(s.Text(), "; ")
		var r recordedInputs
		var at, service int64
		_, err := fmt.Sscan(fields[0], &at, &service)
		qt.Assert(t, err, qt.IsNil)
		r.at, r.ServiceTime = micros(at), micros(service)
		r.Local, _, _ = readGroup(t, fields[1])
		for _, field := range fields[2:] {
			g, name, roundTrip := readGroup(t, field)
			r.Remotes = append(r.Remotes, locality.Remote{DataCentre: name, Group: g, RoundTrip: roundTrip})
		}
		out = append(out, r)
	}
	return out
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func readGroup(t *testing.T, text string) (g locality.Group, name string, roundTrip time.Duration) {
	var age, rt int64
	_, err := fmt.Sscan(text, &name, &g.Upstreams, &g.Slots, &g.Requests, &age, &rt)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	g.Age = micros(age)
	return g, name, micros(rt)
}

// TestPauseStartsAveragesAnew guards against a step that follows from a single update after a
// pause of the process.
func TestPauseStartsAveragesAnew(t *testing.T) {
	const pausedAt, resumedAt = 3 * time.Second, 5 * time.Second
	c := locality.New()
	for at := tick; at <= 8*time.Second; at += tick {
		if at > pausedAt && at < resumedAt {
			continue
		}
		in := inputs(0.6, 0.6, 300*time.Millisecond)
		if at >= pausedAt {
			in = inputs(4, 0.6, 300*time.Millisecond)
		}
		c.Update(instant.Instant(at), in)
		if at < resumedAt+500*time.Millisecond {
			qt.Assert(t, c.Share("b"), qt.Equals, locality.Share(0), qt.Commentf("%v", at))
		}
	}
	qt.Assert(t, c.Share("b"), qt.Equals, locality.Share(1))
}

// TestSwingsAreBounded guards against a share that oscillates because its effect shows late:
// a closed loop in which local demand is 1.6 times the slots, flows live for a second, and
// loads of the other data centre are seen after a delay.
func TestSwingsAreBounded(t *testing.T) {
	for _, delay := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 550 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			const flowLifetime, capacity = time.Second, 20.0
			remoteFlows, localQueue := 0.0, 0.0
			var history []float64
			c := locality.New()
			var shares []locality.Share
			for at := tick; at <= 30*time.Second; at += tick {
				remoteFlows += (float64(c.Share("b"))*1.6 - remoteFlows) * float64(tick) / float64(flowLifetime)
				localRate := 1.6 - remoteFlows
				localQueue = min(max(localQueue+(localRate-1)*capacity*float64(tick)/float64(serviceTime), 0), 8*capacity)
				history = append(history, 0.5+remoteFlows)
				seen := history[max(0, len(history)-1-int(delay/tick))]
				in := inputs(0, seen, delay)
				in.Local.Requests = min(localRate, 1)*capacity + localQueue
				c.Update(instant.Instant(at), in)
				shares = append(shares, c.Share("b"))
			}
			swings, rising := 0, true
			for i := 1; i < len(shares); i++ {
				if shares[i] != shares[i-1] && (shares[i] > shares[i-1]) != rising {
					rising = !rising
					swings++
				}
			}
			t.Logf("%d swings", swings)
			// One swing up and down every three seconds.
			qt.Check(t, swings <= 20, qt.IsTrue, qt.Commentf("%d swings in 30 s", swings))
		})
	}
}

// TestSharesAreNested guards against homes that let different flows leave at the same share.
func TestSharesAreNested(t *testing.T) {
	const flows = 20_000
	for _, share := range []locality.Share{0, 0.125, 0.5, 1} {
		n := 0
		for i := range uint64(flows) {
			hash := i * 0x9e3779b97f4a7c15
			if locality.MayLeave(hash, share) {
				n++
				qt.Assert(t, locality.MayLeave(hash, share+0.1), qt.IsTrue)
			}
		}
		got := float64(n) / flows
		qt.Check(t, got > float64(share)-0.02 && got < float64(share)+0.02, qt.IsTrue, qt.Commentf("share %v: %v", share, got))
		if share == 0 || share == 1 {
			qt.Check(t, n, qt.Equals, int(share)*flows)
		}
	}
}
