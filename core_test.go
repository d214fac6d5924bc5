package jaytack_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// core lists the packages that decide. They take events and the time and return
// decisions.
var core = []string{
	"internal/customer/catalogue", "internal/customer/contract", "internal/fleet/membership", "internal/fleet/gossip",
	"internal/flow/connid", "internal/flow/placement", "internal/flow/routing", "internal/flow/tunnel",
	"internal/clock/instant", "internal/request/admission", "internal/request/handover", "internal/request/idempotency",
	"internal/request/outcome",
	"internal/relay/lookup", "internal/relay/flow", "internal/relay/forwarding", "internal/relay/load", "internal/relay/locality",
	"internal/relay/flowtable", "internal/relay/membership", "internal/relay/routes", "internal/relay/serving", "internal/relay/action", "internal/relay/admission",
	"internal/relay/evacuation",
	"internal/relay/warmup",
	"internal/relay/speed",
	"internal/relay/ejection",
	"internal/relay/scheduling",
	"internal/relay/validation",
	"internal/relay/polling",
}

// forbidden lists imports that bring input, output or a clock.
var forbidden = map[string]bool{"net": true, "net/http": true, "os": true, "syscall": true, "io/fs": true, "context": true, "sync": true, "log": true}

// TestCoreHasNoInputOrOutput enforces that the core does no input or output,
// reads no clock and starts no goroutine.
func TestCoreHasNoInputOrOutput(t *testing.T) {
	for _, dir := range core {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(files) > 0, qt.IsTrue, qt.Commentf("%s", dir))
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkCoreFile(t, file)
			}
		}
	}
}

func checkCoreFile(t *testing.T, file string) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	for _, i := range f.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		qt.Check(t, forbidden[path], qt.IsFalse, qt.Commentf("%s imports %s", file, path))
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", file)
		case *ast.SelectorExpr:
			p, ok := x.X.(*ast.Ident)
			if ok && p.Name == "time" && (x.Sel.Name == "Now" || x.Sel.Name == "Since" || x.Sel.Name == "Until" || x.Sel.Name == "Sleep") {
				t.Errorf("%s uses time.%s", file, x.Sel.Name)
			}
		}
		return true
	})
}
