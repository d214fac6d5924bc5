package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxErrorBytes bounds how much of an error's body is kept.
const maxErrorBytes = 256

// Transport carries requests to any endpoint of a store over HTTP.
type Transport struct {
	endpoints []netip.AddrPort
	next      atomic.Uint32
	http      *http.Client
}

func newTransport(endpoints []netip.AddrPort, timeout time.Duration) *Transport {
	dialer := net.Dialer{Timeout: timeout}
	return &Transport{endpoints: endpoints, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Close drops idle connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Text
}

// Call sends body as JSON, if there is one, and decodes the answer into res. It
// fails with a *StatusError where the status is not 200.
func (t *Transport) Call(ctx context.Context, method, path string, body, res any) error {
	r, err := t.Open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	if err := json.NewDecoder(r).Decode(res); err != nil {
		return eris.Wrap(err, "decode")
	}
	// What follows the document is read so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxErrorBytes))
	return nil
}

// Open sends body as JSON, if there is one, and returns the body of an answer
// with status 200.
func (t *Transport) Open(ctx context.Context, method, path string, body any) (io.ReadCloser, error) {
	if len(t.endpoints) == 0 {
		return nil, &net.OpError{Op: "dial", Err: eris.New("no endpoint of the store is set")}
	}
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode")
		}
		content = bytes.NewReader(b)
	}
	at := t.endpoints[int(t.next.Load())%len(t.endpoints)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, content)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	// A write is sent once only; the caller decides whether to send it again.
	req.GetBody = nil
	res, err := t.http.Do(req)
	if err != nil {
		t.next.Add(1)
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		_ = res.Body.Close()
		return nil, &StatusError{res.StatusCode, string(text)}
	}
	return res.Body, nil
}
