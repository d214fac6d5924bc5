package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Lease times of the model, equal to those of the agents.
const (
	modelTTL    = time.Minute
	modelMargin = 5 * time.Second
)

// homeAgent is an agent that can hold the home lease.
type homeAgent struct {
	table       *Table
	clockOffset time.Duration
	term        Term
	pending     []SubmissionID // Accepted but not yet sent to the upstream.
}

// keyModel simulates agents, the store that grants the home lease, and time.
type keyModel struct {
	now          time.Time
	agents       []*homeAgent
	holder       int
	expires      time.Time
	terms        int
	runs         map[SubmissionID]int
	skipTermRule bool // Disables the term rule by marking every term as the first.
}

func newKeyModel(t *rapid.T, skipTermRule bool) *keyModel {
	m := &keyModel{now: time.Unix(1_000_000, 0), runs: make(map[SubmissionID]int), holder: -1, skipTermRule: skipTermRule}
	for i := range 3 {
		half := int(MaxClockSkew / 2 / time.Millisecond)
		clockOffset := time.Duration(rapid.IntRange(-half, half).Draw(t, fmt.Sprint("clock", i))) * time.Millisecond
		m.agents = append(m.agents, &homeAgent{table: New(1 << 20), clockOffset: clockOffset})
	}
	return m
}

// acquire grants the lease to agent i if it has expired in the store.
func (m *keyModel) acquire(i int) {
	if m.holder >= 0 && m.now.Before(m.expires) {
		return
	}
	h := m.agents[i]
	m.holder, m.expires = i, m.now.Add(modelTTL)
	h.term = Term{Since: m.now.Add(h.clockOffset), First: m.terms == 0 || m.skipTermRule, ValidTo: m.now.Add(h.clockOffset + modelTTL - modelMargin)}
	m.terms++
}

func (m *keyModel) renew() {
	if m.holder < 0 || !m.now.Before(m.expires) {
		return
	}
	h := m.agents[m.holder]
	m.expires = m.now.Add(modelTTL)
	h.term.ValidTo = m.now.Add(h.clockOffset + modelTTL - modelMargin)
}

// submit sends a key to agent i, whether or not it holds the lease.
func (m *keyModel) submit(i int, created time.Time) {
	h := m.agents[i]
	n := SubmissionID(created.Format(time.RFC3339Nano))
	if _, known := h.table.Entry(n); !known && h.term.CheckKey(created, m.now.Add(h.clockOffset)) != KeyAccepted {
		return
	}
	if h.table.Begin(n, SequenceNumber(created.UnixMilli()), 1) == Fresh {
		h.pending = append(h.pending, n)
	}
}

// dispatch sends the keys that agent i accepted to the upstream. Any time may
// have passed since, because the agent may have been frozen.
func (m *keyModel) dispatch(i int) {
	h := m.agents[i]
	for _, n := range h.pending {
		m.runs[n]++
	}
	h.pending = nil
}

func (m *keyModel) duplicateRuns() int {
	n := 0
	for _, r := range m.runs {
		if r > 1 {
			n++
		}
	}
	return n
}

// run applies random events to the model.
func (m *keyModel) run(t *rapid.T) {
	var keys []time.Time
	events := rapid.SampledFrom([]string{"acquire", "acquire", "renew", "submit", "submit", "retry", "retry", "retry", "dispatch", "pass", "pass"})
	passes := rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, modelTTL})
	for range 120 {
		i := rapid.IntRange(0, 2).Draw(t, "agent")
		switch events.Draw(t, "event") {
		case "acquire":
			m.acquire(i)
		case "renew":
			m.renew()
		case "submit":
			offset := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "callerClockMillis")) * time.Millisecond
			keys = append(keys, m.now.Add(offset))
			m.submit(i, keys[len(keys)-1])
		case "retry":
			if len(keys) > 0 {
				m.submit(i, keys[len(keys)-1-rapid.IntRange(0, min(len(keys)-1, 5)).Draw(t, "key")])
			}
		case "dispatch":
			m.dispatch(i)
		case "pass":
			m.now = m.now.Add(passes.Draw(t, "pass"))
		}
	}
	for i := range m.agents {
		m.dispatch(i)
	}
}

// TestKeyRunsOnceAcrossHomeChanges tests promise P5 for callers that send only a
// key. A key could run twice when the home agent changes, when clocks differ by up
// to MaxClockSkew, or when an agent freezes between accepting a key and running it.
func TestKeyRunsOnceAcrossHomeChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyModel(t, false)
		m.run(t)
		if n := m.duplicateRuns(); n > 0 {
			t.Fatalf("%d keys ran more than once", n)
		}
	})
}

// TestKeyRunsTwiceWithoutTermRule shows that some key runs twice if keys that
// may stem from an earlier term are accepted.
func TestKeyRunsTwiceWithoutTermRule(t *testing.T) {
	duplicates := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyModel(t, true)
		m.run(t)
		duplicates += m.duplicateRuns()
	})
	if duplicates == 0 {
		t.Fatal("no key ran more than once with the term rule disabled")
	}
}
