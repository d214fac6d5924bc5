// Package outcome defines the outcome of a request as reported to its caller.
//
// # Usage
//
//	if o == outcome.NotRun {
//		// The request has not run and will not run: retry it elsewhere.
//	}
package outcome

// Outcome tells a caller whether its request ran.
type Outcome uint8

// Outcomes.
const (
	// Unknown means that the request may have run, or may still run.
	Unknown Outcome = iota
	// Answered means that the request ran and its answer is complete.
	Answered
	// NotRun means that the request has not run and will not run.
	NotRun
)

var names = [...]string{"Unknown", "Answered", "NotRun"}

// String returns the value of the Jaytack-Outcome header. A value that a peer of a later
// version sent is Unknown.
func (o Outcome) String() string {
	if int(o) >= len(names) {
		o = Unknown
	}
	return names[o]
}

// Parse returns the outcome with the given name; ok is false if there is none.
func Parse(name string) (o Outcome, ok bool) {
	for i, n := range names {
		if n == name {
			return Outcome(i), true
		}
	}
	return Unknown, false
}
