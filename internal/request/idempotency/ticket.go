package idempotency

import (
	"crypto/cipher"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"io"
	"net/netip"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/flow/connid"
)

// ErrTicket reports a ticket that was not issued by an agent of the fleet.
var ErrTicket = errors.New("ticket was not issued by this fleet")

// Ticket identifies a submission and the one process that decides on it.
type Ticket struct {
	// Agent is the tunnel address and Control the DRPC address of that process.
	Agent       netip.AddrPort
	Control     netip.AddrPort
	Incarnation connid.Incarnation
	Service     contract.ServiceNumber
	Sequence    SequenceNumber
}

const ticketLength = 6 + 6 + 4 + 2 + 8

// Seal returns the encrypted ticket as text. It reads the nonce from random.
func (t Ticket) Seal(aead cipher.AEAD, random io.Reader) (string, error) {
	b := make([]byte, aead.NonceSize(), aead.NonceSize()+ticketLength+aead.Overhead())
	if _, err := io.ReadFull(random, b); err != nil {
		return "", err
	}
	plain := make([]byte, 0, ticketLength)
	plain = appendAddress(plain, t.Agent)
	plain = appendAddress(plain, t.Control)
	plain = binary.BigEndian.AppendUint32(plain, uint32(t.Incarnation))
	plain = binary.BigEndian.AppendUint16(plain, uint16(t.Service))
	plain = binary.BigEndian.AppendUint64(plain, uint64(t.Sequence))
	return base64.RawURLEncoding.EncodeToString(aead.Seal(b, b, plain, nil)), nil
}

// OpenTicket decrypts a ticket from Seal. It returns ErrTicket for any other text.
func OpenTicket(aead cipher.AEAD, text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) < aead.NonceSize() {
		return Ticket{}, ErrTicket
	}
	p, err := aead.Open(nil, b[:aead.NonceSize()], b[aead.NonceSize():], nil)
	if err != nil || len(p) != ticketLength {
		return Ticket{}, ErrTicket
	}
	return Ticket{
		Agent:       readAddress(p[0:]),
		Control:     readAddress(p[6:]),
		Incarnation: connid.Incarnation(binary.BigEndian.Uint32(p[12:])),
		Service:     contract.ServiceNumber(binary.BigEndian.Uint16(p[16:])),
		Sequence:    SequenceNumber(binary.BigEndian.Uint64(p[18:])),
	}, nil
}

func appendAddress(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

func readAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
