package idempotency

import "flag"

// The seed is fixed so that every test run generates the same cases. Use
// -rapid.seed for another seed and -rapid.checks for more cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
