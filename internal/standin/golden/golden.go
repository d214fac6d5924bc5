// Package golden compares the output of a test with a file under testdata.
//
// # Usage
//
//	golden.Check(t, "problems", text)
//
// If the environment variable JAYTACK_UPDATE is set, Check first overwrites the file.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const fileMode = 0o644

// Check compares got with testdata/NAME.golden.
func Check(tb testing.TB, name, got string) {
	tb.Helper()
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv("JAYTACK_UPDATE") != "" {
		qt.Assert(tb, os.WriteFile(path, []byte(got), fileMode), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(tb, err, qt.IsNil)
	qt.Check(tb, got, qt.Equals, string(want))
}
