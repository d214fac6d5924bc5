package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of the modelled lease, as the agents use them.
const (
	modelTTL    = time.Minute
	modelMargin = 5 * time.Second
)

// keyHome is one agent that may be the home.
type keyHome struct {
	ledger  *Table
	err     time.Duration // of its clock
	term    Term
	pending []SubmissionID // accepted, not yet sent to the upstream
}

// keyModel is a few agents, a store that leases the home, and time.
type keyModel struct {
	now     time.Time
	homes   []*keyHome
	holder  int
	expires time.Time
	terms   int
	runs    map[SubmissionID]int
	first   bool // every term believes that it is the first: the rule switched off
}

func newKeyModel(t *rapid.T, off bool) *keyModel {
	m := &keyModel{now: time.Unix(1_000_000, 0), runs: make(map[SubmissionID]int), holder: -1, first: off}
	for i := range 3 {
		half := int(MaxClockSkew / 2 / time.Millisecond)
		err := time.Duration(rapid.IntRange(-half, half).Draw(t, fmt.Sprint("clock", i))) * time.Millisecond
		m.homes = append(m.homes, &keyHome{ledger: New(1 << 20), err: err})
	}
	return m
}

// acquire gives the home to agent i if the lease has lapsed in the store.
func (m *keyModel) acquire(i int) {
	if m.holder >= 0 && m.now.Before(m.expires) {
		return
	}
	h := m.homes[i]
	m.holder, m.expires = i, m.now.Add(modelTTL)
	h.term = Term{Since: m.now.Add(h.err), First: m.terms == 0 || m.first, ValidTo: m.now.Add(h.err + modelTTL - modelMargin)}
	m.terms++
}

func (m *keyModel) renew() {
	if m.holder < 0 || !m.now.Before(m.expires) {
		return
	}
	h := m.homes[m.holder]
	m.expires = m.now.Add(modelTTL)
	h.term.ValidTo = m.now.Add(h.err + modelTTL - modelMargin)
}

// try brings a key to agent i, whatever it believes about being the home.
func (m *keyModel) try(i int, made time.Time) {
	h := m.homes[i]
	n := SubmissionID(made.Format(time.RFC3339Nano))
	if _, held := h.ledger.Entry(n); !held && h.term.CheckKey(made, m.now.Add(h.err)) != KeyAccepted {
		return
	}
	if h.ledger.Begin(n, SequenceNumber(made.UnixMilli()), 1) == Fresh {
		h.pending = append(h.pending, n)
	}
}

// dispatch sends what agent i accepted to the upstream. Any time may have passed
// since: the agent may have been frozen.
func (m *keyModel) dispatch(i int) {
	h := m.homes[i]
	for _, n := range h.pending {
		m.runs[n]++
	}
	h.pending = nil
}

func (m *keyModel) doubled() int {
	n := 0
	for _, r := range m.runs {
		if r > 1 {
			n++
		}
	}
	return n
}

// run lets the model live through random events.
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
			m.try(i, keys[len(keys)-1])
		case "retry":
			if len(keys) > 0 {
				m.try(i, keys[len(keys)-1-rapid.IntRange(0, min(len(keys)-1, 5)).Draw(t, "key")])
			}
		case "dispatch":
			m.dispatch(i)
		case "pass":
			m.now = m.now.Add(passes.Draw(t, "pass"))
		}
	}
	for i := range m.homes {
		m.dispatch(i)
	}
}

// TestKeyRunsOnceOverHomes is promise P5 for callers that send only a key: homes
// change, clocks differ by up to ClockError, and homes freeze between accepting
// a key and running it.
func TestKeyRunsOnceOverHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyModel(t, false)
		m.run(t)
		if n := m.doubled(); n > 0 {
			t.Fatalf("%d keys ran twice", n)
		}
	})
}

// TestKeyRuleIsNeeded shows that without the rule about keys older than the term
// some run doubles a key.
func TestKeyRuleIsNeeded(t *testing.T) {
	doubled := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyModel(t, true)
		m.run(t)
		doubled += m.doubled()
	})
	if doubled == 0 {
		t.Fatal("no run doubled a key with the rule switched off")
	}
}
