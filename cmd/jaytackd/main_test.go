package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRunRejectsInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(path, []byte(`{"ip":"x"}`), 0o600), qt.IsNil)
	err := run("agent", path, 0)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*ip is not an IPv4 address: x\n.*`)
	qt.Assert(t, run("agent", path+".none", 0), qt.ErrorMatches, `.*settings cannot be read.*`)
}
