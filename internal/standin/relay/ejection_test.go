package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failedWhileSomeFail returns the failed and all requests sent while three of the upstreams of
// the largest service reset each request, and the requests sent after they work again that ran
// there.
func failedWhileSomeFail(seed uint64, ejects bool) (failed, all, ranAfterwards int, w *World) {
	const from, to, end = 4 * time.Second, 9 * time.Second, 24 * time.Second
	cfg := Viveros(seed)
	cfg.EjectFailing = ejects
	w = New(cfg)
	set := func(fails bool) {
		for _, p := range w.Agents[:3] {
			p.Upstream.FailsRequests = fails
		}
	}
	w.At(from, func() { set(true) })
	w.At(to, func() { set(false) })
	before := 0
	w.At(to, func() { before = ran(w) })
	w.Run(end)
	for _, r := range w.Results {
		if r.At >= from && r.At < to {
			all++
			if r.Latency == 0 {
				failed++
			}
		}
	}
	return failed, all, ran(w) - before, w
}

// ran returns the number of requests that the upstreams which fail for a while have run.
func ran(w *World) (n int) {
	for _, p := range w.Agents[:3] {
		n += p.Upstream.Ran
	}
	return n
}

// TestFailingUpstreamsGetFewFlows guards against upstreams that reset all their requests, are
// thus always free, and attract the flows of callers that try again; and against ejected ones
// that get no flows once they work again.
func TestFailingUpstreamsGetFewFlows(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		without, _, _, _ := failedWhileSomeFail(seed, false)
		with, all, ranAfterwards, w := failedWhileSomeFail(seed, true)
		t.Logf("failed %d without, %d with ejection, of %d; %d ran afterwards", without, with, all, ranAfterwards)
		qt.Check(t, with*2 <= without, qt.IsTrue, qt.Commentf("%d and %d", with, without))
		qt.Check(t, w.Violations, qt.HasLen, 0)
		// Three of forty upstreams; half of their share of the requests of 15 s.
		qt.Check(t, ranAfterwards >= 15*1460*3/40/2, qt.IsTrue, qt.Commentf("%d", ranAfterwards))
	}
}
