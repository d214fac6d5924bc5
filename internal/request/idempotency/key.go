package idempotency

import (
	"time"
)

// Bounds of the timestamp of a key relative to the clock of the leader.
const (
	// MaxKeyLead is the maximum time by which a key may be ahead of this clock.
	MaxKeyLead = 2 * time.Second
	// MaxKeyAge is the maximum age at which a key is accepted.
	MaxKeyAge = 5 * time.Minute
	// MaxClockSkew is the maximum difference between the clocks of two agents.
	MaxClockSkew = time.Second
)

// Term is a period in which one agent is the leader of a service: it holds the lease
// that lets it decide on the service's keys.
type Term struct {
	// Since is the start of the term on the clock of the leader.
	Since time.Time
	// First marks the first term of a service, which has no earlier leader.
	First bool
	// ValidTo is the time on the leader's clock from which it accepts no key.
	// It lies before the earliest time at which the lease can expire in the store.
	ValidTo time.Time
}

// KeyDecision is the decision of a leader on a key that is not in its table.
type KeyDecision uint8

// Decisions on keys.
const (
	// KeyAccepted means that the submission may run.
	KeyAccepted KeyDecision = iota
	// KeyTooNew means that no leader can have run the submission: its outcome is
	// NotRun.
	KeyTooNew
	// KeyForgotten means that another leader may have run the submission or that its
	// entry may have been evicted: its outcome is Unknown.
	KeyForgotten
	// KeyTermEnded means that the term has ended and another agent may decide.
	KeyTermEnded
)

// CheckKey decides on a key with the timestamp created that arrives at time now.
//
// A leader accepts a key only during its term and only if created is at most
// MaxKeyLead ahead of its clock. Every key that an earlier leader accepted was
// therefore created before the start of the next term plus MaxKeyLead plus
// MaxClockSkew, and the next leader never accepts such a key. Both the term and the
// key are checked against one clock reading, now, so that a process that freezes
// after the reading still decides as it would have at that time.
func (t Term) CheckKey(created, now time.Time) KeyDecision {
	switch {
	case !now.Before(t.ValidTo):
		return KeyTermEnded
	case created.After(now.Add(MaxKeyLead + MaxClockSkew)):
		return KeyTooNew
	case created.After(now.Add(MaxKeyLead)):
		// A leader whose clock is ahead of this one may have accepted it.
		return KeyForgotten
	case now.Sub(created) > MaxKeyAge:
		return KeyForgotten
	case !t.First && created.Before(t.Since.Add(MaxKeyLead+MaxClockSkew)):
		return KeyForgotten
	}
	return KeyAccepted
}
