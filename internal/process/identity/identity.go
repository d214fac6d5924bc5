// Package identity derives the keys and certificates that authenticate a process
// as a member of the fleet.
//
// They derive from the system key, a 32-byte secret in a file that the settings
// name: the key of tunnel tags, the AEAD key of control datagrams, and the
// certificate authority for TLS between processes. Each process issues its own
// certificate and accepts only certificates of the same authority.
//
// # Usage
//
//	id, err := identity.New(secret)
//	conn := tls.Client(raw, id.ClientTLS())
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

// SecretLength is the length of the system key in bytes.
const SecretLength = 32

const (
	serverName          = "jaytack"
	certificateValidity = 365 * 24 * time.Hour
	clockSkew           = 24 * time.Hour
)

var (
	// ErrSecret reports a system key that is not 32 bytes long or not hexadecimal in its file.
	ErrSecret = eris.New("the system key must be 64 hexadecimal digits")
	// ErrSeal reports a control datagram that fails authentication under the system key.
	ErrSeal = eris.New("control datagram is not sealed under the system's key")
)

// Identity holds the keys and certificates derived from the system key.
type Identity struct {
	// Tunnel is the key of tunnel tags.
	Tunnel tunnel.Key
	// Reset is the key of QUIC stateless resets.
	Reset [32]byte
	// Ticket is the cipher with which agents encrypt tickets.
	Ticket      cipher.AEAD
	controlAEAD cipher.AEAD
	cert        tls.Certificate
	authorities *x509.CertPool
}

// Load derives the identity from the system key in a file, in hexadecimal.
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

// New derives the identity from the 32-byte system key.
func New(secret []byte) (*Identity, error) {
	if len(secret) != SecretLength {
		return nil, ErrSecret
	}
	id := &Identity{}
	tunnelKey, err := deriveKey(secret, "tunnel", 16)
	if err != nil {
		return nil, err
	}
	id.Tunnel = tunnel.NewKey([16]byte(tunnelKey))
	resetKey, err := deriveKey(secret, "reset", 32)
	if err != nil {
		return nil, err
	}
	id.Reset = [32]byte(resetKey)
	if id.controlAEAD, err = deriveAEAD(secret, "control"); err != nil {
		return nil, err
	}
	if id.Ticket, err = deriveAEAD(secret, "ticket"); err != nil {
		return nil, err
	}
	return id, id.createCertificates(secret)
}

func deriveKey(secret []byte, purpose string, n int) ([]byte, error) {
	b, err := hkdf.Key(sha256.New, secret, nil, "jaytack "+purpose, n)
	return b, eris.Wrap(err, "derive key")
}

func deriveAEAD(secret []byte, purpose string) (cipher.AEAD, error) {
	k, err := deriveKey(secret, purpose, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	a, err := chacha20poly1305.NewX(k)
	return a, eris.Wrap(err, "cipher")
}

// createCertificates creates the certificate authority, whose key derives
// from the secret, and the certificate of this process.
func (id *Identity) createCertificates(secret []byte) error {
	seed, err := deriveKey(secret, "authority", ed25519.SeedSize)
	if err != nil {
		return err
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "jaytack fleet"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              now.Add(10 * certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, authorityKey.Public(), authorityKey)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	authorityCert, err := x509.ParseCertificate(der)
	if err != nil {
		return eris.Wrap(err, "authority")
	}
	id.authorities = x509.NewCertPool()
	id.authorities.AddCert(authorityCert)
	id.cert, err = IssueCertificate(authorityCert, authorityKey, serverName, now)
	return err
}

// IssueCertificate returns a new certificate and key for name, signed by signer. The
// certificate is self-signed if parent is nil.
func IssueCertificate(parent *x509.Certificate, signer ed25519.PrivateKey, name string, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, private
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// ClientTLS returns the TLS configuration for connections to other processes.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.authorities,
		ServerName:   serverName,
	}
}

// ServerTLS returns the TLS configuration for connections from other processes.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// Seal encrypts plain into a control datagram: kind, nonce and ciphertext.
func (id *Identity) Seal(plain []byte) []byte {
	out := make([]byte, 1+chacha20poly1305.NonceSizeX, 1+chacha20poly1305.NonceSizeX+len(plain)+chacha20poly1305.Overhead)
	out[0] = byte(tunnel.Control)
	_, _ = rand.Read(out[1:])
	return id.controlAEAD.Seal(out, out[1:1+chacha20poly1305.NonceSizeX], plain, nil)
}

// Open decrypts a control datagram. It fails with ErrSeal if the datagram is not
// authentic.
func (id *Identity) Open(datagram []byte) ([]byte, error) {
	if len(datagram) < 1+chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return nil, ErrSeal
	}
	nonce := datagram[1 : 1+chacha20poly1305.NonceSizeX]
	plain, err := id.controlAEAD.Open(nil, nonce, datagram[1+chacha20poly1305.NonceSizeX:], nil)
	if err != nil {
		return nil, ErrSeal
	}
	return plain, nil
}
