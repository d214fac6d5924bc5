// Package instant defines the type of timestamps in packages that never read a
// clock.
//
// Such packages get the current time with each input. Daemons pass the monotonic
// time since their start; tests and experiments pass a virtual time.
//
// # Usage
//
//	later := now.Add(250 * time.Millisecond)
//	left := later.Sub(now)
package instant

import "time"

// Instant is the time elapsed since an arbitrary start.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
