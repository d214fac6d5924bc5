package store

import (
	"context"
	"time"
)

// maxAttempts limits the concurrent attempts of one idempotent call.
const maxAttempts = 4

// hedge makes an idempotent call. It starts another attempt each time the client's
// timeout passes without an answer, since the connection may be dead, and returns the
// first success. Earlier attempts go on meanwhile: a store or a process that is slow still
// completes the call. A failure counts once no other attempt is pending.
func hedge[T any](ctx context.Context, c *Client, call func(ctx context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, maxAttempts*c.timeout)
	defer cancel()
	results := make(chan result, maxAttempts)
	started, pending := 0, 0
	start := func() {
		started++
		pending++
		go func() {
			value, err := call(ctx)
			results <- result{value, err}
		}()
	}
	start()
	ticker := time.NewTicker(c.timeout)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				return r.value, r.err
			}
		case <-ticker.C:
			if started < maxAttempts {
				c.Close()
				start()
			}
		}
	}
}
