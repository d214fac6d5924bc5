package wire

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/customer/catalogue"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/fleet/membership"
	"github.com/jaytack/jaytack/internal/flow/connid"
	"github.com/jaytack/jaytack/internal/flow/placement"
)

// ErrContract reports a contract that cannot be encoded or decoded.
var ErrContract = eris.New("contract cannot be read")

const addressBytes = 6

// FromAddress encodes an IPv4 address and port; it returns nil for other addresses.
func FromAddress(a netip.AddrPort) []byte {
	if !a.Addr().Is4() {
		return nil
	}
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

// ToAddress decodes an address from FromAddress. It returns the zero AddrPort if b
// is malformed.
func ToAddress(b []byte) netip.AddrPort {
	if len(b) != addressBytes {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

// FromMember converts a record to its message.
func FromMember(m membership.Member) *Member {
	return &Member{
		Address: FromAddress(m.Address), Control: FromAddress(m.Control),
		Role: uint32(m.Role), Service: uint32(m.Service), DataCentre: string(m.DataCentre),
		Incarnation: uint64(m.Incarnation), Sequence: uint64(m.Sequence),
		State: uint32(m.State), Weight: uint32(m.Weight), Suspect: m.Suspect,
	}
}

// ToMember converts a message to a record; ok is false if it is malformed.
func ToMember(w *Member) (m membership.Member, ok bool) {
	m = membership.Member{
		Address: ToAddress(w.GetAddress()), Control: ToAddress(w.GetControl()),
		Role: membership.Role(w.GetRole()), Service: contract.ServiceNumber(w.GetService()),
		DataCentre:  contract.DataCentre(w.GetDataCentre()),
		Incarnation: connid.Incarnation(w.GetIncarnation()), Sequence: membership.Sequence(w.GetSequence()),
		State: membership.State(w.GetState()), Weight: placement.Weight(w.GetWeight()), Suspect: w.GetSuspect(),
	}
	ok = m.Address.IsValid() && (m.Role == membership.Balancer || m.Role == membership.Agent)
	return m, ok
}

// FromMembers converts records to messages.
func FromMembers(ms []membership.Member) []*Member {
	out := make([]*Member, len(ms))
	for i, m := range ms {
		out[i] = FromMember(m)
	}
	return out
}

// ToMembers converts messages to records and skips malformed ones.
func ToMembers(ws []*Member) []membership.Member {
	out := make([]membership.Member, 0, len(ws))
	for _, w := range ws {
		if m, ok := ToMember(w); ok {
			out = append(out, m)
		}
	}
	return out
}

// FromVersions converts versions to messages.
func FromVersions(vs []catalogue.Version) []*Version {
	out := make([]*Version, len(vs))
	for i, v := range vs {
		out[i] = &Version{Customer: string(v.Customer), Revision: int64(v.Revision)}
	}
	return out
}

// ToVersions converts messages to versions.
func ToVersions(ws []*Version) []catalogue.Version {
	out := make([]catalogue.Version, len(ws))
	for i, w := range ws {
		out[i] = catalogue.Version{Customer: contract.Customer(w.GetCustomer()), Revision: contract.Revision(w.GetRevision())}
	}
	return out
}

// FromEntry converts a committed contract to a message; it fails with ErrContract.
func FromEntry(e catalogue.Entry) (*Contract, error) {
	b, err := json.Marshal(e.Stored)
	if err != nil {
		return nil, eris.Wrap(ErrContract, err.Error())
	}
	return &Contract{Customer: string(e.Customer), Revision: int64(e.Revision), Value: b}, nil
}

// ToEntry converts a message to a committed contract; it fails with ErrContract.
func ToEntry(w *Contract) (catalogue.Entry, error) {
	e := catalogue.Entry{Customer: contract.Customer(w.GetCustomer()), Revision: contract.Revision(w.GetRevision())}
	if err := json.Unmarshal(w.GetValue(), &e.Stored); err != nil {
		return e, eris.Wrap(ErrContract, err.Error())
	}
	return e, nil
}
