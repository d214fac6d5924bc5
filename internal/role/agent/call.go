package agent

import (
	"io"
	"net/http"
	"time"

	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/request/outcome"
)

// HTTP header fields in requests and responses of callers and upstreams.
const (
	HeaderOutcome        = "Jaytack-Outcome"
	HeaderReason         = "Jaytack-Reason"
	HeaderRequestID      = "Jaytack-Request-Id"
	HeaderDeadline       = "Jaytack-Deadline"
	HeaderTicket         = "Jaytack-Ticket"
	HeaderShed           = "Jaytack-Shed"
	HeaderRetryAfter     = "Jaytack-Retry-After"
	HeaderAttempt        = "Jaytack-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxBufferedAnswerBytes is the number of bytes of an answer that are read before
// its head is forwarded.
const maxBufferedAnswerBytes = 256 << 10

// call is a request whose body has been read completely.
type call struct {
	id       string
	kind     contract.Kind
	method   string
	path     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// isRetriable reports whether agents may run the call more than once.
func (c *call) isRetriable() bool { return c.kind.Idempotent }

// reply is the result of a call.
type reply struct {
	outcome outcome.Outcome
	status  int
	header  http.Header
	body    []byte
	// rest streams the remainder after body, or is nil. Its Read fails if the
	// answer is incomplete.
	rest       io.ReadCloser
	reason     string
	retryAfter time.Duration
	// busy is set on the refusal of a peer that has no free slot or whose upstream is
	// not usable.
	busy bool
	// fromPeer is set on the reply to a call that was handed over to a peer.
	fromPeer bool
}

func notRunReply(reason string, retryAfter time.Duration) reply {
	return reply{outcome: outcome.NotRun, status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func unknownReply(reason string) reply {
	return reply{outcome: outcome.Unknown, status: http.StatusGatewayTimeout, reason: reason}
}

// notRunAsUnknown replaces NotRun by Unknown. Only the process that decides on a
// submission may report that it did not run.
func (r reply) notRunAsUnknown() reply {
	if r.outcome == outcome.NotRun {
		r.outcome = outcome.Unknown
	}
	return r
}

// close closes the remainder of the answer.
func (r *reply) close() {
	if r.rest != nil {
		_ = r.rest.Close()
	}
}

// hookedCloser calls a function once when the remainder of an answer is closed.
type hookedCloser struct {
	io.ReadCloser
	onClose func()
}

// Close closes the remainder and calls the function.
func (c *hookedCloser) Close() error {
	err := c.ReadCloser.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// onComplete calls f when the remainder is closed, or at once if there is none.
func (r *reply) onComplete(f func()) {
	if r.rest == nil {
		f()
		return
	}
	r.rest = &hookedCloser{r.rest, f}
}
