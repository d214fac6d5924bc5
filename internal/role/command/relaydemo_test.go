package command

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRelayDemoKeepsItsPromises(t *testing.T) {
	var out bytes.Buffer
	err := (&demoCmd{Path: "relay", Seed: 1}).Run(&streams{out: &out})
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out.String()))
	qt.Assert(t, strings.Contains(out.String(), "all promises held"), qt.IsTrue)
}
