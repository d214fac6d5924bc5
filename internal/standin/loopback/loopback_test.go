package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNetworkOfAnotherProcessIsNotReserved guards against fleets of two test processes that
// listen at the same addresses. The test binary runs itself as the other process, which
// tries the network of this one first.
func TestNetworkOfAnotherProcessIsNotReserved(t *testing.T) {
	if text := os.Getenv("JAYTACK_RESERVED"); text != "" {
		var reserved Network
		_, err := fmt.Sscan(text, &reserved)
		qt.Assert(t, err, qt.IsNil)
		next = reserved
		n, release, err := Reserve()
		qt.Assert(t, err, qt.IsNil)
		defer release()
		qt.Assert(t, n, qt.Not(qt.Equals), reserved)
		return
	}
	n, release, err := Reserve()
	qt.Assert(t, err, qt.IsNil)
	defer release()
	other := exec.Command(os.Args[0], "-test.run", t.Name())
	other.Env = append(os.Environ(), fmt.Sprint("JAYTACK_RESERVED=", n))
	out, err := other.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
}
