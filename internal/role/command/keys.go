package command

import (
	"context"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaytack/jaytack/internal/process/identity"
	"github.com/jaytack/jaytack/internal/role/operator"
)

const (
	secretMode = 0o600
	publicMode = 0o644
)

type keysCmd struct {
	Generate generateCmd `cmd:"" help:"Make a system key, and a certificate for trials."`
	Rotate   rotateCmd   `cmd:"" help:"Add a key to the fleet's keyring."`
}

type generateCmd struct {
	Directory  string `arg:"" type:"path" help:"Where the files go."`
	ServerName string `default:"demo.jaytack.example" help:"The name in the certificate."`
}

// Run writes system.key, cert.pem and key.pem; it overwrites nothing.
func (c *generateCmd) Run(s *streams) error {
	secret := make([]byte, identity.SecretLength)
	if _, err := rand.Read(secret); err != nil {
		return eris.Wrap(err, "random secret")
	}
	cert, err := identity.IssueCertificate(nil, nil, c.ServerName, time.Now())
	if err != nil {
		return err
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return eris.Wrap(err, "private key")
	}
	files := []struct {
		name string
		data []byte
		mode os.FileMode
	}{
		{"system.key", []byte(hex.EncodeToString(secret) + "\n"), secretMode},
		{"cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert.Certificate[0]}), publicMode},
		{"key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), secretMode},
	}
	for _, f := range files {
		if err := writeNew(filepath.Join(c.Directory, f.name), f.data, f.mode); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(s.out, filepath.Join(c.Directory, f.name))
	}
	return nil
}

func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "write")
	}
	if _, err := f.Write(data); err != nil {
		return eris.Wrap(err, "write")
	}
	return eris.Wrap(f.Close(), "write")
}

type rotateCmd struct {
	platformFlags
}

// Run adds a key to the keyring.
func (c *rotateCmd) Run(s *streams) error {
	return c.act(func(ctx context.Context, o *operator.Operator) error {
		seeds := o.Seeds(ctx)
		rev, value, err := o.Rotate(ctx)
		if err != nil {
			return err
		}
		n := o.DeliverKeyring(ctx, seeds, rev, value)
		_, err = fmt.Fprintf(s.out, "keyring accepted as revision %d, delivered to %d balancers\n", rev, n)
		return err
	})
}
