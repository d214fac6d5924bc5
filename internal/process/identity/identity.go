// Package identity derives from the system's key what proves that a process
// belongs to the fleet.
//
// The key is a secret of 32 bytes in a file named in the settings. From it come
// the key of the tunnel's tags, the key that seals control datagrams, and the
// certificate authority of the TLS between processes: a process that holds the
// key issues its own certificate and accepts only those of the same authority.
//
// # Usage
//
//	id, err := identity.New(secret)
//	conn := tls.Client(raw, id.Client())
//	sealed := id.Seal(plain)
//	plain, err := id.Open(sealed)
package identity

import (
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/jaytack/jaytack/internal/flow/tunnel"
)

// SecretLength is the length of the system's key in bytes.
const SecretLength = 32

const (
	serverName  = "jaytack"
	certificate = 365 * 24 * time.Hour
	clockSkew   = 24 * time.Hour
)

var (
	// ErrSecret reports a system key that is not 32 bytes in hexadecimal.
	ErrSecret = eris.New("the system key must be 64 hexadecimal digits")
	// ErrSeal reports a control datagram of a process without the system's key.
	ErrSeal = eris.New("control datagram is not sealed under the system's key")
)

// Identity holds what is derived from the system's key.
type Identity struct {
	// Tunnel is the key of the tunnel's tags.
	Tunnel tunnel.Key
	// Reset is the key of QUIC stateless resets.
	Reset [32]byte
	// Ticket is the key under which agents seal tickets.
	Ticket cipher.AEAD
	seal   cipher.AEAD
	cert   tls.Certificate
	pool   *x509.CertPool
}

// Load reads the system's key from a file.
func Load(path string) (*Identity, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "system key")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(secret) != SecretLength {
		return nil, eris.Wrap(ErrSecret, path)
	}
	return New(secret)
}

// New derives the identity from 32 bytes of secret.
func New(secret []byte) (*Identity, error) {
	if len(secret) != SecretLength {
		return nil, ErrSecret
	}
	id := &Identity{}
	t, err := derive(secret, "tunnel", 16)
	if err != nil {
		return nil, err
	}
	id.Tunnel = tunnel.NewKey([16]byte(t))
	r, err := derive(secret, "reset", 32)
	if err != nil {
		return nil, err
	}
	id.Reset = [32]byte(r)
	if id.seal, err = deriveAEAD(secret, "control"); err != nil {
		return nil, err
	}
	if id.Ticket, err = deriveAEAD(secret, "ticket"); err != nil {
		return nil, err
	}
	return id, id.issue(secret)
}

func derive(secret []byte, purpose string, n int) ([]byte, error) {
	b, err := hkdf.Key(sha256.New, secret, nil, "jaytack "+purpose, n)
	return b, eris.Wrap(err, "derive key")
}

func deriveAEAD(secret []byte, purpose string) (cipher.AEAD, error) {
	k, err := derive(secret, purpose, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	a, err := chacha20poly1305.NewX(k)
	return a, eris.Wrap(err, "cipher")
}

// issue makes the authority from the secret and a certificate of its own.
func (id *Identity) issue(secret []byte) error {
	seed, err := derive(secret, "authority", ed25519.SeedSize)
	if err != nil {
		return err
	}
	authority := ed25519.NewKeyFromSeed(seed)
	now := time.Now()
	root := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "jaytack fleet"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              now.Add(10 * certificate),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, root, root, authority.Public(), authority)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	id.pool = x509.NewCertPool()
	id.pool.AddCert(parsed)
	id.cert, err = IssueCertificate(parsed, authority, serverName, now)
	return err
}

// IssueCertificate returns a certificate for name, signed by the authority.
func IssueCertificate(parent *x509.Certificate, signer ed25519.PrivateKey, name string, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "key")
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificate),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = leaf, private
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, parent, public, signer)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// ClientTLS returns the TLS settings of a call to another process.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.pool,
		ServerName:   serverName,
	}
}

// ServerTLS returns the TLS settings for calls from other processes.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// Seal returns a control datagram with its kind, nonce and sealed text.
func (id *Identity) Seal(plain []byte) []byte {
	out := make([]byte, 1+chacha20poly1305.NonceSizeX, 1+chacha20poly1305.NonceSizeX+len(plain)+chacha20poly1305.Overhead)
	out[0] = byte(tunnel.Control)
	_, _ = rand.Read(out[1:])
	return id.seal.Seal(out, out[1:1+chacha20poly1305.NonceSizeX], plain, nil)
}

// Open returns the text of a control datagram, or ErrSeal.
func (id *Identity) Open(datagram []byte) ([]byte, error) {
	if len(datagram) < 1+chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return nil, ErrSeal
	}
	nonce := datagram[1 : 1+chacha20poly1305.NonceSizeX]
	plain, err := id.seal.Open(nil, nonce, datagram[1+chacha20poly1305.NonceSizeX:], nil)
	if err != nil {
		return nil, ErrSeal
	}
	return plain, nil
}
