package agent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAwaitPolicyAfterStart(t *testing.T) {
	a := &Agent{}
	time.AfterFunc(50*time.Millisecond, func() { a.policy.Store(&policy{}) })
	qt.Assert(t, a.awaitPolicy(context.Background()), qt.Not(qt.IsNil))

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	qt.Assert(t, (&Agent{}).awaitPolicy(ctx), qt.IsNil)
}
