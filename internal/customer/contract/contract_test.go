package contract_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/examples"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/standin/golden"
)

func problemsOf(t *testing.T, name string) string {
	text, err := os.ReadFile("testdata/" + name + ".yaml")
	qt.Assert(t, err, qt.IsNil)
	_, problems := contract.Parse(name+".yaml", text)
	return problems.Error() + "\n"
}

func TestProblemsAreReportedTogether(t *testing.T) {
	for _, name := range []string{"faulty", "unreadable"} {
		golden.Check(t, name, problemsOf(t, name))
	}
}

func TestBrokenDocuments(t *testing.T) {
	for _, text := range []string{"", "[", "- a", "Customer: {", "a: b\n---\nc: d", "Services: 3", "\x00", "Customer: &a [*a]"} {
		_, problems := contract.Parse("f.yaml", []byte(text))
		qt.Check(t, len(problems) > 0, qt.IsTrue, qt.Commentf("%q", text))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("Customer: Registro")
	f.Add("Services: [{Name: a, Kinds: [{Deadline: 1s}]}]")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = contract.Parse("f.yaml", []byte(text))
	})
}

func TestExamplesAreValid(t *testing.T) {
	cs, err := examples.Contracts()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cs, qt.HasLen, 2)
	s, ok := cs[0].Service("padron")
	qt.Assert(t, ok, qt.IsTrue)
	k, ok := s.KindFor("/permits/7")
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, k.Name, qt.Equals, contract.KindName("PermitLookup"))
	_, ok = s.KindFor("/permitsandmore")
	qt.Check(t, ok, qt.IsFalse)
}

func TestDiff(t *testing.T) {
	cs, err := examples.Contracts()
	qt.Assert(t, err, qt.IsNil)
	after := cs[0]
	after.Services = append([]contract.Service(nil), after.Services...)
	after.Services[0].Slots = 6
	after.Services = after.Services[:1]
	after.Limits.BodyBytes = 1
	var b strings.Builder
	for _, d := range contract.Diff(cs[0], after) {
		fmt.Fprintf(&b, "%s: %q -> %q\n", d.Field, d.Before, d.After)
	}
	golden.Check(t, "diff", b.String())
}

func TestIndex(t *testing.T) {
	cs, err := examples.Contracts()
	qt.Assert(t, err, qt.IsNil)
	x, first := contract.Index{}.Add(cs[0])
	qt.Check(t, first.Services[1].Number, qt.Equals, contract.ServiceNumber(2))
	conflicting := cs[1]
	conflicting.Services = append([]contract.Service(nil), conflicting.Services...)
	conflicting.Services[0].Addresses = cs[0].Services[0].Addresses
	qt.Check(t, x.Conflicts(conflicting), qt.HasLen, 1)
	x = x.Remove(cs[0].Customer)
	qt.Check(t, x.Conflicts(conflicting), qt.HasLen, 0)
	_, second := x.Add(conflicting)
	qt.Check(t, second.Services[0].Number, qt.Equals, contract.ServiceNumber(3), qt.Commentf("numbers must not be reused"))
}

func TestNextRevisionIsAboveEarlierAndLostOnes(t *testing.T) {
	now := time.UnixMicro(1000)
	qt.Assert(t, contract.NextRevision(0, now), qt.Equals, contract.Revision(1000))
	qt.Assert(t, contract.NextRevision(5, now), qt.Equals, contract.Revision(1000))
	qt.Assert(t, contract.NextRevision(2000, now), qt.Equals, contract.Revision(2001))
}
