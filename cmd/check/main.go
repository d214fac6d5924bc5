// Command check runs the formatter, the linters, the build and all tests.
//
// Tests that KNOWN-RED.txt names may fail; they are printed. Every other
// failure fails the check.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"
)

const knownRed = "KNOWN-RED.txt"

// testEvent is one line of go test -json.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testID names a test, or a package where Test is empty.
type testID struct {
	Package string
	Test    string
}

// tally is what a run of the tests gave.
type tally struct {
	passed int
	failed map[testID]bool
	output map[testID]*strings.Builder
}

func main() {
	if err := check(); err != nil {
		fmt.Fprintln(os.Stderr, "check:", err)
		os.Exit(1)
	}
}

func check() error {
	steps := [][]string{
		{"go", "mod", "verify"},
		{"go", "vet", "./..."},
		{"go", "tool", "staticcheck", "./..."},
		{"go", "build", "./..."},
	}
	if err := formatted(); err != nil {
		return err
	}
	for _, s := range steps {
		fmt.Println("==", strings.Join(s, " "))
		cmd := exec.Command(s[0], s[1:]...)
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		if err := cmd.Run(); err != nil {
			return fmt.Errorf("%s: %w", strings.Join(s, " "), err)
		}
	}
	return test()
}

func formatted() error {
	fmt.Println("== gofumpt")
	files, err := exec.Command("git", "ls-files", "--cached", "--others", "--exclude-standard", "*.go").Output()
	if err != nil {
		return err
	}
	args := []string{"tool", "gofumpt", "-l"}
	for _, f := range strings.Fields(string(files)) {
		if _, err := os.Stat(f); err == nil && !strings.HasSuffix(f, ".pb.go") {
			args = append(args, f)
		}
	}
	return judgeFormat(exec.Command("go", args...))
}

// judgeFormat runs a formatter that lists unformatted files on standard output.
// Standard error is passed on: on an empty module cache the go command reports
// its downloads there.
func judgeFormat(cmd *exec.Cmd) error {
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("formatter: %w", err)
	}
	if len(out) > 0 {
		return fmt.Errorf("not formatted: %s", out)
	}
	return nil
}

func test() error {
	fmt.Println("== go test -race ./...")
	cmd := exec.Command("go", "test", "-race", "-count=1", "-p", "2", "-timeout", "15m", "-json", "./...")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	t := read(out)
	runErr := cmd.Wait()
	return t.judge(runErr)
}

func read(r io.Reader) tally {
	t := tally{failed: make(map[testID]bool), output: make(map[testID]*strings.Builder)}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<24)
	for s.Scan() {
		var e testEvent
		if json.Unmarshal(s.Bytes(), &e) != nil {
			fmt.Println(s.Text())
			continue
		}
		t.take(e)
	}
	return t
}

func (t *tally) take(e testEvent) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "output":
		if t.output[id] == nil {
			t.output[id] = &strings.Builder{}
		}
		t.output[id].WriteString(e.Output)
		if e.Test == "" && strings.HasPrefix(e.Output, "ok") {
			fmt.Print(e.Output)
		}
	case "pass":
		if e.Test != "" {
			t.passed++
		}
	case "fail":
		t.failed[id] = true
	}
}

// judge passes over the tests that are known to be red and prints them.
func (t *tally) judge(runErr error) error {
	red, err := readKnownRed()
	if err != nil {
		return err
	}
	var known, fresh []testID
	for id := range t.failed {
		switch {
		case id.Test == "" && t.hasFailedTest(id.Package):
			// The package fails because of its tests.
		case red[topLevel(id.Test)]:
			known = append(known, id)
		default:
			fresh = append(fresh, id)
		}
	}
	for _, id := range sorted(known) {
		fmt.Printf("known red: %s %s\n", id.Package, id.Test)
	}
	for _, id := range sorted(fresh) {
		fmt.Printf("FAIL %s %s\n", id.Package, id.Test)
		if b := t.output[id]; b != nil {
			fmt.Print(b.String())
		}
	}
	fmt.Printf("%d passed, %d failed\n", t.passed, len(fresh))
	switch {
	case len(fresh) > 0:
		return fmt.Errorf("%d tests failed", len(fresh))
	case runErr != nil && len(known) == 0:
		return runErr
	case t.passed == 0:
		return fmt.Errorf("no test ran")
	}
	return nil
}

func (t *tally) hasFailedTest(pkg string) bool {
	for id := range t.failed {
		if id.Package == pkg && id.Test != "" {
			return true
		}
	}
	return false
}

func topLevel(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

func sorted(ids []testID) []testID {
	sort.Slice(ids, func(i, j int) bool { return ids[i].Package+ids[i].Test < ids[j].Package+ids[j].Test })
	return ids
}

// readKnownRed returns the names of the tests that are known to fail.
func readKnownRed() (map[string]bool, error) {
	out := make(map[string]bool)
	text, err := os.ReadFile(knownRed)
	if os.IsNotExist(err) {
		return out, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 0 && strings.HasPrefix(f[0], "Test") {
			out[f[0]] = true
		}
	}
	return out, nil
}
