package evacuation_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/relay/evacuation"
	"github.com/jaytack/jaytack/internal/relay/message"
)

func set(era evacuation.Era, rev evacuation.Revision, names ...evacuation.DataCentre) evacuation.Set {
	return evacuation.Set{Version: evacuation.Version{Era: era, Revision: rev}, DataCentres: names}
}

func change(era evacuation.Era, rev evacuation.Revision, name evacuation.DataCentre, evacuated bool) evacuation.Change {
	return evacuation.Change{Version: evacuation.Version{Era: era, Revision: rev}, DataCentre: name, Evacuated: evacuated}
}

// TestNewestSetWins guards against a set from a restarted peer, or from before a restore of the
// store, that replaces a newer one.
func TestNewestSetWins(t *testing.T) {
	var table evacuation.Table
	qt.Assert(t, table.Known(), qt.IsFalse)
	qt.Assert(t, table.Message(), qt.IsNil)
	qt.Assert(t, table.Merge(set(0, 0)), qt.IsTrue, qt.Commentf("the empty set becomes known"))
	qt.Assert(t, table.Known(), qt.IsTrue)
	qt.Assert(t, table.Merge(set(1, 8, "a", "b")), qt.IsTrue)
	qt.Assert(t, table.Merge(set(1, 7)), qt.IsFalse, qt.Commentf("a lower revision"))
	qt.Assert(t, table.Merge(set(1, 9, "a", "b")), qt.IsFalse, qt.Commentf("the same data centres at a later revision"))
	qt.Assert(t, table.Set().Revision, qt.Equals, evacuation.Revision(9))
	qt.Assert(t, table.Merge(set(2, 3, "b")), qt.IsTrue, qt.Commentf("a later era"))
	qt.Assert(t, table.Merge(set(1, 99, "a")), qt.IsFalse, qt.Commentf("an earlier era"))
	qt.Assert(t, table.Contains("b") && !table.Contains("a"), qt.IsTrue)
}

// TestChangesInAnyOrder guards against a request that arrives after its withdrawal and stays in
// force.
func TestChangesInAnyOrder(t *testing.T) {
	var table evacuation.Table
	qt.Assert(t, table.Apply(change(1, 5, "a", true)), qt.IsFalse, qt.Commentf("no whole set is known"))
	table.Merge(set(1, 4))
	qt.Assert(t, table.Apply(change(1, 4, "a", true)), qt.IsFalse, qt.Commentf("the whole set is as new"))
	qt.Assert(t, table.Apply(change(1, 9, "a", false)), qt.IsFalse)
	qt.Assert(t, table.Apply(change(1, 7, "a", true)), qt.IsFalse, qt.Commentf("the withdrawal came before"))
	qt.Assert(t, table.Apply(change(1, 8, "b", true)), qt.IsTrue)
	qt.Assert(t, table.Apply(change(1, 10, "a", true)), qt.IsTrue)
	qt.Assert(t, table.Set(), qt.DeepEquals, set(1, 10, "a", "b"))
	qt.Assert(t, table.Apply(change(2, 11, "a", false)), qt.IsFalse, qt.Commentf("another era"))
	qt.Assert(t, table.Apply(change(1, 12, "b", false)), qt.IsTrue)
	qt.Assert(t, table.Message().DataCentres, qt.DeepEquals, []string{"a"})
	table.Merge(set(2, 2))
	qt.Assert(t, table.Apply(change(2, 3, "a", true)), qt.IsTrue, qt.Commentf("revisions of the era before do not count"))
}

// TestConfirmingChangeRaisesTheVersion guards against the set of another process, as of a withdrawal
// that this one has missed, that replaces a set confirmed by a later request.
func TestConfirmingChangeRaisesTheVersion(t *testing.T) {
	var table evacuation.Table
	table.Merge(set(1, 5, "a"))
	qt.Assert(t, table.Message().Revision, qt.Equals, int64(5))
	qt.Assert(t, table.Apply(change(1, 7, "a", true)), qt.IsFalse)
	qt.Assert(t, table.Message().Revision, qt.Equals, int64(7))
	qt.Assert(t, table.Merge(set(1, 6)), qt.IsFalse)
	qt.Assert(t, table.Contains("a"), qt.IsTrue)
	table.Apply(change(1, 8, "b", false))
	qt.Assert(t, table.Set(), qt.DeepEquals, set(1, 8, "a"))
}

// TestOddNames guards against names in a message that make all messages too large.
func TestOddNames(t *testing.T) {
	s, ok := evacuation.SetOf(&message.Evacuations{Era: 1, Revision: 2, DataCentres: []string{"b", "", "x/y", strings.Repeat("n", 300), "a b", "a\xff", "b", "a"}})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s, qt.DeepEquals, set(1, 2, "a", "b"))
	var many message.Evacuations
	for i := range 1000 {
		many.DataCentres = append(many.DataCentres, "dc-"+strings.Repeat("i", i%60))
	}
	s, _ = evacuation.SetOf(&many)
	qt.Assert(t, len(s.DataCentres), qt.Equals, 32)
	_, ok = evacuation.SetOf(nil)
	qt.Assert(t, ok, qt.IsFalse)
}
