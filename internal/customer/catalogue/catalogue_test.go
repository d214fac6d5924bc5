package catalogue

import (
	"flag"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

// The seed is fixed so that every test run generates the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestNeverReverts applies revisions in random order. The highest revision must
// win, and catalogues with the same versions must have the same digest.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		highest := make(map[contract.Customer]contract.Revision)
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Customer: rapid.SampledFrom([]contract.Customer{"Registro", "Qasr-Soft", "Third"}).Draw(t, "customer"),
				Revision: contract.Revision(rapid.IntRange(1, 20).Draw(t, "revision")),
			}
		}), 1, 40).Draw(t, "entries")
		for _, e := range entries {
			before, _ := a.Get(e.Customer)
			if a.Apply(e) != (e.Revision > before.Revision) {
				t.Fatalf("applying %d over %d", e.Revision, before.Revision)
			}
			highest[e.Customer] = max(highest[e.Customer], e.Revision)
		}
		for name, r := range highest {
			e, _ := a.Get(name)
			if e.Revision != r {
				t.Fatalf("%s is at %d, not %d", name, e.Revision, r)
			}
			b.Apply(Entry{Customer: name, Revision: r})
		}
		if a.Digest() != b.Digest() {
			t.Fatal("the digest depends on the order of the revisions")
		}
	})
}

func TestRevisionsOfContracts(t *testing.T) {
	for _, test := range []struct {
		value string
		want  contract.Revision
	}{
		{`{"Revision":7}`, 7},
		// Earlier programs wrote no revision.
		{`{}`, 3},
	} {
		e, err := DecodeEntry("Registro", []byte(test.value), 3)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, e.Revision, qt.Equals, test.want)
	}
	_, err := DecodeEntry("Registro", []byte("{"), 3)
	qt.Assert(t, err, qt.IsNotNil)
}
