package main

import (
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCheckFormatterOutput guards against counting the go command's download messages
// on standard error as unformatted files.
func TestCheckFormatterOutput(t *testing.T) {
	tests := []struct {
		name, script, want string
	}{
		{"Clean", "true", ""},
		{"DownloadsOnStandardError", "echo 'go: downloading example.org/m v1.0.0' >&2", ""},
		{"Unformatted", "echo main.go", "not formatted: main.go\n"},
		{"FormatterFails", "exit 2", "formatter: exit status 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := checkFormatterOutput(exec.Command("sh", "-c", test.script))
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// TestOnlyListedSubtestsAreKnown guards against a listed subtest that hides the failure of another
// one, or of its parent.
func TestOnlyListedSubtestsAreKnown(t *testing.T) {
	names := map[string]bool{"TestA/One": true, "TestB": true}
	failure := func(test, output string) *testResults {
		r := &testResults{failed: make(map[testID]bool), output: make(map[testID]*strings.Builder)}
		for _, name := range strings.Fields(test) {
			r.failed[testID{"p", name}] = true
			r.addEvent(testEvent{Action: "output", Package: "p", Test: name, Output: output})
		}
		return r
	}
	tests := []struct {
		name, failed, output string
		of                   string
		want                 bool
	}{
		{"Listed", "TestA TestA/One", "--- FAIL", "TestA/One", true},
		{"ParentOfListed", "TestA TestA/One", "--- FAIL", "TestA", true},
		{"OtherSubtest", "TestA TestA/One TestA/Two", "--- FAIL", "TestA/Two", false},
		{"ParentOfOtherSubtest", "TestA TestA/One TestA/Two", "--- FAIL", "TestA", false},
		{"ParentFailsItself", "TestA TestA/One", "    a_test.go:3: no", "TestA", false},
		{"ParentAlone", "TestA", "--- FAIL", "TestA", false},
		{"SubtestOfListed", "TestB TestB/Any", "--- FAIL", "TestB/Any", true},
		{"OtherTest", "TestC", "--- FAIL", "TestC", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := failure(test.failed, test.output)
			qt.Assert(t, r.isKnown(testID{"p", test.of}, names), qt.Equals, test.want)
		})
	}
}
