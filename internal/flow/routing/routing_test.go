package routing

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/jaytack/jaytack/internal/clock/instant"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

var (
	padronAddress   = netip.MustParseAddrPort("127.0.10.1:4433")
	recuentoAddress = netip.MustParseAddrPort("127.0.10.2:4433")
	padronAgent     = netip.MustParseAddrPort("127.0.2.1:7100")
	recuentoAgent   = netip.MustParseAddrPort("127.0.2.2:7100")
)

func newTable(tb testing.TB) *Table {
	secret := make([]byte, connid.SecretLength)
	secret[0] = 7
	ring, err := connid.NewRing([]connid.Key{{ID: 3, Secret: secret}}, 3)
	qt.Assert(tb, err, qt.IsNil)
	singleCandidate := func(a netip.AddrPort) *placement.Rendezvous {
		return placement.NewRendezvous([]placement.Candidate{{Agent: a, Weight: placement.FullWeight}})
	}
	return &Table{Ring: ring, Addresses: map[netip.AddrPort]*Service{
		padronAddress:   {Number: 1, Candidates: singleCandidate(padronAgent)},
		recuentoAddress: {Number: 2, Candidates: singleCandidate(recuentoAgent)},
	}}
}

func shortHeader(id [connid.Length]byte) []byte {
	b := make([]byte, 60)
	b[0] = 0x40
	copy(b[1:], id[:])
	return b
}

func longHeader(typ byte, id []byte, size int) []byte {
	b := make([]byte, size)
	b[0] = 0xc0 | typ
	b[4] = 1
	b[5] = byte(len(id))
	copy(b[6:], id)
	return b
}

func TestRoute(t *testing.T) {
	tbl := newTable(t)
	id := tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1, Incarnation: 9}, 1)
	forged := id
	forged[18] ^= 1
	unknown := id
	unknown[0] = 4
	tests := []struct {
		name     string
		datagram []byte
		address  netip.AddrPort
		verdict  Verdict
		reason   Reason
	}{
		{"sealed", shortHeader(id), padronAddress, Established, ReasonSealed},
		{"sealed long", longHeader(0x20, id[:], 100), padronAddress, Established, ReasonSealed},
		{"crossed", shortHeader(id), recuentoAddress, Drop, ReasonCrossed},
		{"crossed long", longHeader(0, id[:], 1200), recuentoAddress, Drop, ReasonCrossed},
		{"forged", shortHeader(forged), padronAddress, Drop, ReasonForged},
		{"unknown key", shortHeader(unknown), padronAddress, Drop, ReasonUnknownKey},
		{"initial", longHeader(0, []byte("12345678"), 1200), padronAddress, Placed, ReasonPlaced},
		{"short initial", longHeader(0, []byte("12345678"), 1199), padronAddress, Drop, ReasonShortInitial},
		{"handshake", longHeader(0x20, []byte("12345678"), 1200), padronAddress, Drop, ReasonNotInitial},
		{"truncated", shortHeader(id)[:20], padronAddress, Drop, ReasonMalformed},
		{"empty", nil, padronAddress, Drop, ReasonMalformed},
		{"unknown address", shortHeader(id), padronAgent, Drop, ReasonUnknownAddress},
	}
	r := New()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := r.Route(tbl, 0, tt.datagram, tt.address)
			qt.Check(t, d.Verdict, qt.Equals, tt.verdict)
			qt.Check(t, d.Reason, qt.Equals, tt.reason)
		})
	}
}

func TestRouteDoesNotAllocate(t *testing.T) {
	tbl := newTable(t)
	r := New()
	b := shortHeader(tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1}, 1))
	initial := longHeader(0, []byte("12345678"), 1200)
	n := testing.AllocsPerRun(1000, func() {
		r.Route(tbl, 0, b, padronAddress)
		r.Route(tbl, 0, initial, padronAddress)
	})
	qt.Assert(t, n, qt.Equals, 0.0)
}

// TestNewFlowsAreRateLimited floods one address with new flows. Those above the
// limit are dropped; established flows and the other service are not affected.
func TestNewFlowsAreRateLimited(t *testing.T) {
	tbl := newTable(t)
	tbl.Addresses[padronAddress].NewFlows = rate.NewLimiter(100, 10)
	r := New()
	initial := longHeader(0, []byte("12345678"), 1200)
	established := shortHeader(tbl.Ring.Seal(connid.Owner{Agent: padronAgent, Service: 1}, 1))
	placed := 0
	for i := range 10_000 {
		now := instant.Instant(time.Duration(i) * 100 * time.Microsecond)
		if r.Route(tbl, now, initial, padronAddress).Verdict == Placed {
			placed++
		}
		qt.Assert(t, r.Route(tbl, now, established, padronAddress).Verdict, qt.Equals, Established)
		qt.Assert(t, r.Route(tbl, now, initial, recuentoAddress).Verdict, qt.Equals, Placed)
	}
	qt.Check(t, placed >= 100 && placed <= 112, qt.IsTrue, qt.Commentf("%d", placed))
}
