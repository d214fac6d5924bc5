package tunnel

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

var testKey = NewKey([keyLength]byte{1, 2, 3})

func drawAddress(t *rapid.T, name string) netip.AddrPort {
	b := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), rapid.Uint16Range(1, 65535).Draw(t, name+"Port"))
}

func TestHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Header{
			Kind: ToAgent, Flags: Flags(rapid.Byte().Draw(t, "flags")),
			Service: contract.ServiceNumber(rapid.Uint16().Draw(t, "service")),
			Caller:  drawAddress(t, "caller"), ServiceAddress: drawAddress(t, "address"), SecondChoice: drawAddress(t, "second"),
		}
		payload := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "payload")
		b := append(make([]byte, HeaderLength), payload...)
		Put(b, h, testKey)
		got, gotPayload, err := Open(b, testKey)
		if err != nil || got != h || string(gotPayload) != string(payload) {
			t.Fatalf("%+v became %+v, %v", h, got, err)
		}
		at := rapid.IntRange(0, min(len(b), HeaderLength+payloadInTag)-1).Draw(t, "at")
		b[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, _, err := Open(b, testKey); err == nil {
			t.Fatalf("a changed byte %d was accepted", at)
		}
	})
}

func TestOtherKeyIsRefused(t *testing.T) {
	b := make([]byte, HeaderLength+20)
	Put(b, Header{Kind: ToAgent}, NewKey([keyLength]byte{9}))
	_, _, err := Open(b, testKey)
	qt.Check(t, err, qt.Equals, ErrTag)
	_, _, err = Open(b[:HeaderLength], testKey)
	qt.Check(t, err, qt.Equals, ErrShort)
}

func FuzzOpen(f *testing.F) {
	b := make([]byte, HeaderLength+20)
	Put(b, Header{Kind: ToAgent}, testKey)
	f.Add(b)
	f.Add(b[:10])
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, _, _ = Open(datagram, testKey)
		_, _, _ = OpenPlain(datagram)
		_, _ = ParseAnnouncement(datagram)
	})
}
