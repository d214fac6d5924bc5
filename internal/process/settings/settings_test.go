package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/standin/golden"
)

func TestProblemsAreReportedTogether(t *testing.T) {
	for _, name := range []string{"faulty", "values"} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
		qt.Assert(t, err, qt.IsNil)
		var b Balancer
		golden.Check(t, name, Parse(name+".yaml", text, &b).Error()+"\n")
	}
}

func TestExamplesLoad(t *testing.T) {
	dir := "../../../examples/settings/"
	b, err := LoadBalancer(dir + "balancer.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, time.Duration(b.Linger), qt.Equals, 2*time.Second)
	_, err = LoadAgent(dir + "agent.yaml")
	qt.Check(t, err, qt.IsNil)
	_, err = LoadStandinStore(dir + "standin-store.yaml")
	qt.Check(t, err, qt.IsNil)
	_, err = LoadStandinFabric(dir + "standin-fabric.yaml")
	qt.Check(t, err, qt.IsNil)
	_, err = LoadStandinUpstream(dir + "standin-upstream.yaml")
	qt.Check(t, err, qt.IsNil)
	c, err := LoadStandinCaller(dir + "standin-caller.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c.Loads, qt.HasLen, 1)
}

func TestMissingFile(t *testing.T) {
	_, err := LoadBalancer(filepath.Join(t.TempDir(), "none.yaml"))
	qt.Check(t, errors.Is(err, ErrRead), qt.IsTrue)
}
