package idempotency

import (
	"time"
)

// Bounds of the time that a key carries, against the clock of the home.
const (
	// MaxKeyLead is how far in the future a key may lie.
	MaxKeyLead = 2 * time.Second
	// KeyAge is how long after its making a key may run.
	KeyAge = 5 * time.Minute
	// MaxClockSkew bounds the difference between the clocks of two agents.
	MaxClockSkew = time.Second
)

// Term is the time for which one agent is the home of a service's keys.
type Term struct {
	// Since is when the term began, on the clock of the home.
	Since time.Time
	// First marks the first term of a service: there was no home before.
	First bool
	// ValidTo is when the home's right to accept a key ends on its own clock,
	// before its lease can lapse in the store.
	ValidTo time.Time
}

// KeyVerdict is what a home says about a key that its ledger does not hold.
type KeyVerdict uint8

// Verdicts on keys.
const (
	// KeyAccepted means that the key may run here.
	KeyAccepted KeyVerdict = iota
	// KeyTooNew means that no home can have run the key: it is NotRun.
	KeyTooNew
	// KeyForgotten means that an earlier home may have run the key, or that its
	// outcome is no longer kept: it is Unknown.
	KeyForgotten
	// KeyTermEnded means that the term is over: another home may decide.
	KeyTermEnded
)

// CheckKey decides about a key made at made that comes to the home at now.
//
// A home accepts a key only while its term lasts and only if made is at most
// KeyAhead after its clock. Hence each key that an earlier home accepted was made
// before the next term began plus KeyAhead plus ClockError, and the next home
// never runs those. The term and the key must be held against one reading of the
// clock, so that a process frozen after the reading judges on what was true then.
func (t Term) CheckKey(made, now time.Time) KeyVerdict {
	switch {
	case !now.Before(t.ValidTo):
		return KeyTermEnded
	case made.After(now.Add(MaxKeyLead + MaxClockSkew)):
		return KeyTooNew
	case made.After(now.Add(MaxKeyLead)):
		// A home whose clock is ahead of this one may have accepted it.
		return KeyForgotten
	case now.Sub(made) > KeyAge:
		return KeyForgotten
	case !t.First && made.Before(t.Since.Add(MaxKeyLead+MaxClockSkew)):
		return KeyForgotten
	}
	return KeyAccepted
}
