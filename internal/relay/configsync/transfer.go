package configsync

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/routes"
	"github.com/jaytack/jaytack/internal/relay/warmup"
)

const (
	// compressAbove is the size in bytes above which a configuration is compressed for other
	// balancers. Some have a link of 10 Mbit/s, on which a configuration of 2,000 routes takes
	// as long as many thousand packets.
	compressAbove = 16 << 10
	// maxTransferBytes limits the size of a configuration after decompression.
	maxTransferBytes = 16 << 20
)

// gzipMagic is how compressed data begins. No encoded configuration begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// TransferConfig encodes configurations for other balancers. A decoded configuration is smaller
// than the operators' text, and a balancer with a small share of a processor decodes it in a
// fraction of the time.
type TransferConfig struct {
	Encode func(c *routes.Configuration) ([]byte, error)
	Decode func(value []byte) (*routes.Configuration, error)
}

// Transfer returns the encoding that the daemons use.
func Transfer() *TransferConfig {
	return &TransferConfig{Encode: encodeConfiguration, Decode: decodeConfiguration}
}

func encodeConfiguration(c *routes.Configuration) ([]byte, error) {
	m := &message.Configuration{Version: int64(c.Version), IdleTimeoutNanos: int64(c.IdleTimeout)}
	for i := range c.Routes {
		r := &c.Routes[i]
		w := &message.ConfiguredRoute{
			Name: r.Name, IP: uint32(r.Address.IP), Port: uint32(r.Address.Port), Kind: string(r.Kind), Priority: r.Priority,
			TimeoutNanos: int64(r.Timeout), TargetLatencyNanos: int64(r.TargetLatency),
		}
		for _, s := range r.Shares {
			w.Shares = append(w.Shares, &message.Share{Service: s.Service, Weight: s.Weight})
		}
		m.Routes = append(m.Routes, w)
	}
	for _, s := range c.Services {
		m.Services = append(m.Services, &message.ConfiguredService{Name: s.Name, WarmUpNanos: int64(s.WarmUpTime), WarmUpRate: float64(s.WarmUpRate)})
	}
	b, err := proto.Marshal(m)
	return b, eris.Wrap(err, "configuration")
}

func decodeConfiguration(value []byte) (*routes.Configuration, error) {
	if bytes.HasPrefix(value, gzipMagic) {
		var err error
		if value, err = decompress(value); err != nil {
			return nil, eris.Wrap(err, "configuration")
		}
	}
	m := &message.Configuration{}
	if err := proto.Unmarshal(value, m); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	if m.Version <= 0 {
		return nil, eris.New("configuration without a version")
	}
	c := &routes.Configuration{Version: routes.Version(m.Version), IdleTimeout: time.Duration(m.IdleTimeoutNanos)}
	for _, w := range m.Routes {
		if len(w.Shares) == 0 || w.Port == 0 || w.Port > maxPort {
			return nil, eris.Errorf("configuration: route %q", w.Name)
		}
		r := routes.Route{
			Name: w.Name, Address: flow.Endpoint{IP: flow.IP(w.IP), Port: uint16(w.Port)}, Kind: routes.Kind(w.Kind), Priority: w.Priority,
			Timeout: time.Duration(w.TimeoutNanos), TargetLatency: time.Duration(w.TargetLatencyNanos),
		}
		for _, s := range w.Shares {
			r.Shares = append(r.Shares, routes.Share{Service: s.Service, Weight: s.Weight})
		}
		c.Routes = append(c.Routes, r)
	}
	for _, s := range m.Services {
		c.Services = append(c.Services, routes.Service{Name: s.Name, WarmUpTime: time.Duration(s.WarmUpNanos), WarmUpRate: warmup.Rate(s.WarmUpRate)})
	}
	return c, nil
}

// maxPort is the highest port number.
const maxPort = 1<<16 - 1

// compressed returns an encoded configuration in the form in which it is sent.
func compressed(value []byte) ([]byte, error) {
	if len(value) <= compressAbove || bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(r, maxTransferBytes+1))
	if err == nil && len(out) > maxTransferBytes {
		err = eris.Errorf("more than %d bytes", maxTransferBytes)
	}
	return out, err
}
