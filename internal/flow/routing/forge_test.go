package routing

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/flow/connid"
)

// forgedDatagrams is the number of datagrams that promise P2 requires.
const forgedDatagrams = 1_200_000

// forgeDatagram returns a datagram that no caller of recuento has sent: it has a
// random connection ID, an ID with flipped bits, an ID of another service, or is
// truncated. crossed reports the third case.
func forgeDatagram(r *rand.Rand, tbl *Table) (datagram []byte, crossed bool) {
	id := tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1, Incarnation: connid.Incarnation(r.Uint32())}, connid.Nonce(r.Uint32()))
	switch r.IntN(4) {
	case 0:
		for i := range id {
			id[i] = byte(r.Uint32())
		}
		id[0] = 3
	case 1:
		for range 1 + r.IntN(3) {
			id[1+r.IntN(len(id)-1)] ^= 1 << r.IntN(8)
		}
	case 2:
		return shortHeader(id), true
	case 3:
		return shortHeader(id)[:r.IntN(1+connid.Length)], false
	}
	return shortHeader(id), false
}

// TestForgedDatagramsAreDropped tests promise P2 at the balancers: of over a
// million forged, stale and crossed datagrams to recuento's address, none is
// forwarded to padron or any other agent.
func TestForgedDatagramsAreDropped(t *testing.T) {
	tbl := newTable(t)
	r := rand.New(rand.NewPCG(1, 2))
	router := New()
	forwarded, crossed := 0, 0
	for range forgedDatagrams {
		datagram, isCrossed := forgeDatagram(r, tbl)
		d := router.Route(tbl, 0, datagram, recuentoAddress)
		if d.Verdict != Drop {
			forwarded++
		}
		if isCrossed {
			crossed++
		}
	}
	qt.Check(t, forwarded, qt.Equals, 0)
	qt.Check(t, crossed > forgedDatagrams/8, qt.IsTrue)
}

// TestServiceNumberPreventsCrossing shows why the ID contains the service number: a
// router that relied on the agent address alone would forward every datagram that
// reuses an ID of another service.
func TestServiceNumberPreventsCrossing(t *testing.T) {
	tbl := newTable(t)
	id := tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1}, 1)
	owner, err := connid.NewOpener().Open(tbl.Ring, id[:])
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, owner.Agent, qt.Equals, padronAgent)
	qt.Check(t, New().Route(tbl, 0, shortHeader(id), recuentoAddress).Reason, qt.Equals, ReasonCrossed)
}

func FuzzRoute(f *testing.F) {
	tbl := newTable(f)
	id := tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1, Incarnation: 9}, 1)
	f.Add(shortHeader(id))
	f.Add(longHeader(0, id[:], 1200))
	f.Add(longHeader(0, []byte("12345678"), 1200))
	for n := range 24 {
		f.Add(shortHeader(id)[:n])
		f.Add(longHeader(0, id[:min(n, len(id))], 1200))
	}
	r := New()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		d := r.Route(tbl, 0, datagram, recuentoAddress)
		if d.Verdict != Drop && d.Agent != recuentoAgent {
			t.Fatalf("a datagram to recuento went to %v", d.Agent)
		}
	})
}
