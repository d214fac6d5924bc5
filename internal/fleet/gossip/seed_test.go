package gossip_test

import "flag"

// The fixed seed makes runs reproducible. -rapid.seed sets another seed,
// -rapid.checks the number of cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
