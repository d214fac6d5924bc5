package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCheck guards against findings that are lost or printed for the wrong entry, and against
// a wrong exit status. JAYTACK_UPDATE=1 writes the golden files.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"inforce", []string{"inforce.json"}, exitDone},
		{"changed", []string{"changed.json", "--in-force=testdata/inforce.json"}, exitDone},
		{"wrong", []string{"wrong.json"}, exitProblems},
		{"wrong-changed", []string{"wrong.json", "--in-force=testdata/inforce.json"}, exitProblems},
		{"syntax", []string{"syntax.json", "--output=json"}, exitProblems},
		{"against-syntax", []string{"inforce.json", "--in-force=testdata/syntax.json", "--output=json"}, exitProblems},
		{"missing", []string{"missing.json"}, exitFailed},
		{"against-missing", []string{"inforce.json", "--in-force=testdata/missing.json"}, exitFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut strings.Builder
			args := append([]string{"testdata/" + test.args[0]}, test.args[1:]...)
			qt.Check(t, check(args, &out, &errOut), qt.Equals, test.want)
			qt.Check(t, errOut.Len() > 0, qt.Equals, test.want == exitFailed)
			golden := filepath.Join("testdata", test.name+".golden")
			if os.Getenv("JAYTACK_UPDATE") != "" {
				qt.Assert(t, os.WriteFile(golden, []byte(out.String()), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, out.String(), qt.Equals, string(want))
		})
	}
}

// TestUsageStatus guards against scripts that take a mistyped command line for a finding.
func TestUsageStatus(t *testing.T) {
	var out strings.Builder
	for _, args := range [][]string{{}, {"x", "y"}, {"x", "--output=yaml"}, {"x", "--in-froce=y"}} {
		qt.Check(t, check(args, &out, &out), qt.Equals, exitUsage, qt.Commentf("%v", args))
	}
	qt.Check(t, check([]string{"--help"}, &out, &out), qt.Equals, exitDone)
}
