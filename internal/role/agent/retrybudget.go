package agent

import "sync"

// retryBudget is a token bucket that limits retries or hedges to a ratio of the
// answered requests.
type retryBudget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

func newRetryBudget(ratio, maxTokens float64) *retryBudget {
	return &retryBudget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// deposit adds ratio tokens for an answered request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

// refund returns the token of a successful hedge plus a bonus of 0.2 tokens.
func (b *retryBudget) refund() {
	const refundTokens = 1.2
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+refundTokens, b.maxTokens)
}

// tryWithdraw takes one token and reports whether one was available.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
