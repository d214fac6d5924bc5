package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxErrorBytes limits how much of an error response's body is kept.
const maxErrorBytes = 256

// Transport sends HTTP requests to the store's current endpoint and switches to
// the next one after a failed request.
type Transport struct {
	endpoints     []netip.AddrPort
	endpointIndex atomic.Uint32
	http          *http.Client
	// eraHeader is the response header that holds the era, empty if there is none.
	eraHeader string
	era       atomic.Int64
}

func newTransport(endpoints []netip.AddrPort, timeout time.Duration, eraHeader string) *Transport {
	dialer := net.Dialer{Timeout: timeout}
	return &Transport{endpoints: endpoints, eraHeader: eraHeader, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Close closes idle connections.
func (t *Transport) Close() {
	t.http.CloseIdleConnections()
}

// Era returns the highest era that a response has named, 0 if none has.
func (t *Transport) Era() Era { return Era(t.era.Load()) }

// observeEra records the era of a response.
func (t *Transport) observeEra(h http.Header) {
	if t.eraHeader == "" {
		return
	}
	era, err := strconv.ParseInt(h.Get(t.eraHeader), 10, 64)
	if err != nil {
		return
	}
	for old := t.era.Load(); era > old; old = t.era.Load() {
		if t.era.CompareAndSwap(old, era) {
			return
		}
	}
}

// StatusError is a response with an HTTP status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status text and the start of the response body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Text
}

// Call sends body as JSON unless it is nil, and decodes the JSON response into
// res. It fails with a *StatusError if the status is not 200.
func (t *Transport) Call(ctx context.Context, method, path string, body, res any) error {
	r, err := t.Open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	if err := json.NewDecoder(r).Decode(res); err != nil {
		return eris.Wrap(err, "decode")
	}
	// Drain the rest of the body so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxErrorBytes))
	return nil
}

// Open sends body as JSON unless it is nil, and returns the response body, which
// the caller closes. It fails with a *StatusError if the status is not 200.
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
	endpoint := t.endpoints[int(t.endpointIndex.Load())%len(t.endpoints)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint.String()+path, content)
	if err != nil {
		return nil, eris.Wrap(err, "request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	// Without GetBody the HTTP client does not resend a write; the caller decides
	// whether to retry.
	req.GetBody = nil
	res, err := t.http.Do(req)
	if err != nil {
		t.endpointIndex.Add(1)
		return nil, err
	}
	t.observeEra(res.Header)
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		_ = res.Body.Close()
		return nil, &StatusError{res.StatusCode, string(text)}
	}
	return res.Body, nil
}
