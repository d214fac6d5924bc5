// Package connid seals the owner of a flow into its QUIC connection IDs.
//
// An ID contains the tunnel address and incarnation of the agent that owns the flow
// and the number of the service. They are encrypted as one AES block under a key of
// the fleet's keyring and authenticated by a 24-bit tag. A balancer with the keyring
// routes every packet of an established flow by its ID alone.
//
// # Layout
//
//	byte  0      key ID
//	bytes 1-16   AES-128 block: IPv4 (4), port (2), service (2), incarnation (4), nonce (4)
//	bytes 17-19  SipHash tag of the first 17 bytes, truncated
//
// # Usage
//
//	ring, err := connid.NewRing(keys, active)
//	id := ring.Seal(owner, nonce)
//	op := connid.NewOpener()
//	owner, err := op.Open(ring, packet[1:1+connid.Length])
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

// Sizes of IDs and secrets in bytes.
const (
	Length       = 20
	SecretLength = 32
	blockStart   = 1
	tagStart     = blockStart + aes.BlockSize
)

var (
	// ErrLength reports an ID whose size is not Length.
	ErrLength = errors.New("connection ID has the wrong length")
	// ErrKey reports a key ID that is not in the ring.
	ErrKey = errors.New("connection ID is sealed under an unknown key")
	// ErrForged reports an ID whose tag does not match.
	ErrForged = errors.New("connection ID has a wrong tag")
	// ErrSecret reports a secret whose size is not SecretLength.
	ErrSecret = errors.New("secret must have 32 bytes")
	// ErrEmpty reports a ring without a key.
	ErrEmpty = errors.New("keyring has no key")
)

type (
	// KeyID identifies a key within the ring.
	KeyID uint8
	// Incarnation distinguishes successive processes at the same address. It is the
	// start time in tenths of a second since the beginning of 2026, UTC.
	Incarnation uint32
	// Nonce distinguishes the IDs of one incarnation.
	Nonce uint32
)

// Key is a secret of the fleet with its ID.
type Key struct {
	ID     KeyID
	Secret []byte
}

// Owner identifies the agent process and the service of a flow.
type Owner struct {
	Agent       netip.AddrPort
	Service     contract.ServiceNumber
	Incarnation Incarnation
}

type expandedKey struct {
	block  cipher.Block
	k0, k1 uint64
}

// Ring holds the keys that open IDs and marks the active one, which seals them.
//
// A Ring is immutable and safe for concurrent use.
type Ring struct {
	keys   [256]*expandedKey
	active KeyID
}

// NewRing returns a ring of keys that seals with the key active.
//
// It fails with ErrEmpty, ErrSecret or, if active is not in keys, ErrKey.
func NewRing(keys []Key, active KeyID) (*Ring, error) {
	if len(keys) == 0 {
		return nil, ErrEmpty
	}
	r := &Ring{active: active}
	for _, k := range keys {
		if len(k.Secret) != SecretLength {
			return nil, ErrSecret
		}
		block, err := aes.NewCipher(k.Secret[:16])
		if err != nil {
			return nil, ErrSecret
		}
		r.keys[k.ID] = &expandedKey{
			block: block,
			k0:    binary.LittleEndian.Uint64(k.Secret[16:]),
			k1:    binary.LittleEndian.Uint64(k.Secret[24:]),
		}
	}
	if r.keys[active] == nil {
		return nil, ErrKey
	}
	return r, nil
}

// Seal returns a connection ID for a flow of the owner, sealed with the active key.
func (r *Ring) Seal(o Owner, n Nonce) [Length]byte {
	var id [Length]byte
	k := r.keys[r.active]
	id[0] = byte(r.active)
	var plain [aes.BlockSize]byte
	ip := o.Agent.Addr().As4()
	copy(plain[0:4], ip[:])
	binary.BigEndian.PutUint16(plain[4:], o.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:], uint16(o.Service))
	binary.BigEndian.PutUint32(plain[8:], uint32(o.Incarnation))
	binary.BigEndian.PutUint32(plain[12:], uint32(n))
	k.block.Encrypt(id[blockStart:tagStart], plain[:])
	putTag(id[tagStart:], k.tag(id[:tagStart]))
	return id
}

func (k *expandedKey) tag(b []byte) uint64 {
	return siphash.Hash(k.k0, k.k1, b)
}

func putTag(dst []byte, t uint64) {
	dst[0], dst[1], dst[2] = byte(t), byte(t>>8), byte(t>>16)
}

// Opener opens IDs without allocation. It is not safe for concurrent use.
type Opener struct {
	plain [aes.BlockSize]byte
}

// NewOpener returns an Opener.
func NewOpener() *Opener {
	return &Opener{}
}

// Open verifies and decrypts id and returns its owner.
//
// It fails with ErrLength, ErrKey or ErrForged.
func (op *Opener) Open(r *Ring, id []byte) (Owner, error) {
	if len(id) != Length {
		return Owner{}, ErrLength
	}
	k := r.keys[id[0]]
	if k == nil {
		return Owner{}, ErrKey
	}
	t := k.tag(id[:tagStart])
	if id[17] != byte(t) || id[18] != byte(t>>8) || id[19] != byte(t>>16) {
		return Owner{}, ErrForged
	}
	k.block.Decrypt(op.plain[:], id[blockStart:tagStart])
	p := &op.plain
	return Owner{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[0:4])), binary.BigEndian.Uint16(p[4:])),
		Service:     contract.ServiceNumber(binary.BigEndian.Uint16(p[6:])),
		Incarnation: Incarnation(binary.BigEndian.Uint32(p[8:])),
	}, nil
}

// incarnationEpoch is the time of incarnation 0.
var incarnationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// incarnationUnit is the shortest time between the starts of two processes at one
// address that have different incarnations.
const incarnationUnit = 100 * time.Millisecond

// IncarnationAt returns the incarnation of a process that starts at t.
func IncarnationAt(t time.Time) Incarnation {
	return Incarnation(t.Sub(incarnationEpoch) / incarnationUnit)
}
