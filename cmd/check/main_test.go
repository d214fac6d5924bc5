package main

import (
	"os/exec"
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
