package connid

import (
	"encoding/json"
	"time"
)

// MaxKeys is the maximum number of keys in a keyring. Flows whose IDs are sealed
// with a key end when that key is removed.
const MaxKeys = 16

// Keyring is the list of keys in the store, oldest first.
type Keyring struct {
	// Revision orders keyrings. It is 0 in those of earlier programs, which are ordered by the
	// revisions of the store.
	Revision int64 `json:",omitempty"`
	Keys     []DatedKey
}

// DatedKey is a key with its creation time.
type DatedKey struct {
	Key
	Made time.Time
}

// Rotate returns the keyring with a new key appended. If it was full, the oldest key
// is removed. The revision is at least the time now in Unix microseconds, so that it is also
// above revisions that the store has lost by a restore from a copy.
func (k Keyring) Rotate(secret []byte, now time.Time) Keyring {
	id := KeyID(0)
	if n := len(k.Keys); n > 0 {
		id = k.Keys[n-1].ID + 1
	}
	keys := append([]DatedKey(nil), k.Keys...)
	keys = append(keys, DatedKey{Key{id, secret}, now})
	if len(keys) > MaxKeys {
		keys = keys[len(keys)-MaxKeys:]
	}
	return Keyring{max(k.Revision+1, now.UnixMicro()), keys}
}

// Encode returns the keyring in its stored format, JSON.
func (k Keyring) Encode() ([]byte, error) {
	return json.Marshal(k)
}

// DecodeKeyring decodes a keyring from Encode.
func DecodeKeyring(b []byte) (Keyring, error) {
	var k Keyring
	err := json.Unmarshal(b, &k)
	return k, err
}

// DecodeStoredKeyring decodes a keyring from the store. modRevision is the store's revision
// of its key.
func DecodeStoredKeyring(b []byte, modRevision int64) (Keyring, error) {
	k, err := DecodeKeyring(b)
	if k.Revision == 0 {
		k.Revision = modRevision
	}
	return k, err
}

// Ring returns a ring of all keys that seals with the key active. It fails as NewRing
// does.
func (k Keyring) Ring(active KeyID) (*Ring, error) {
	keys := make([]Key, len(k.Keys))
	for i, d := range k.Keys {
		keys[i] = d.Key
	}
	return NewRing(keys, active)
}
