package outcome_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jaytack/jaytack/internal/request/outcome"
)

// TestUndefinedOutcomeIsUnknown guards against a panic on a value that a peer sent.
func TestUndefinedOutcomeIsUnknown(t *testing.T) {
	qt.Assert(t, outcome.Outcome(200).String(), qt.Equals, "Unknown")
}
