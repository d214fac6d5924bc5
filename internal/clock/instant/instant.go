// Package instant holds the time that the core reckons with.
//
// The core never reads a clock: each input carries the time at which it
// happened. Daemons pass the monotonic time since their start, tests and
// experiments a virtual time.
//
// # Usage
//
//	later := now.Add(250 * time.Millisecond)
//	left := later.Sub(now)
package instant

import "time"

// Instant is a time since an arbitrary start.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }
