package gossip_test

import "flag"

// The seed is fixed so that every run of the tests draws the same cases. Another
// one is given by -rapid.seed, more cases by -rapid.checks.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
