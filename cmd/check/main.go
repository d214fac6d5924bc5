// Command check runs the formatter, the linters, the build and all tests.
//
// Failures of tests listed in KNOWN-RED.txt are printed and ignored. Every other
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

const knownRedFile = "KNOWN-RED.txt"

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

// testResults collects the outcome of a test run.
type testResults struct {
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
	if err := checkFormat(); err != nil {
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
	return runTests()
}

func checkFormat() error {
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
	return checkFormatterOutput(exec.Command("go", args...))
}

// checkFormatterOutput runs a formatter that lists unformatted files on standard
// output. Standard error is passed through without failing the check: with an empty
// module cache the go command reports its downloads there.
func checkFormatterOutput(cmd *exec.Cmd) error {
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

func runTests() error {
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
	results := readEvents(out)
	runErr := cmd.Wait()
	return results.report(runErr)
}

func readEvents(r io.Reader) testResults {
	results := testResults{failed: make(map[testID]bool), output: make(map[testID]*strings.Builder)}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<24)
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		results.addEvent(event)
	}
	return results
}

func (t *testResults) addEvent(event testEvent) {
	id := testID{event.Package, event.Test}
	switch event.Action {
	case "output":
		if t.output[id] == nil {
			t.output[id] = &strings.Builder{}
		}
		t.output[id].WriteString(event.Output)
		if event.Test == "" && strings.HasPrefix(event.Output, "ok") {
			fmt.Print(event.Output)
		}
	case "pass":
		if event.Test != "" {
			t.passed++
		}
	case "fail":
		t.failed[id] = true
	}
}

// report prints the results. It returns an error if a test failed that KNOWN-RED.txt
// does not list, if the command failed without a failed test, or if none passed.
func (t *testResults) report(runErr error) error {
	knownNames, err := readKnownRed()
	if err != nil {
		return err
	}
	var known, unexpected []testID
	for id := range t.failed {
		switch {
		case id.Test == "" && t.hasFailedTest(id.Package):
			// The package failed because of its tests.
		case t.isKnown(id, knownNames):
			known = append(known, id)
		default:
			unexpected = append(unexpected, id)
		}
	}
	for _, id := range sortIDs(known) {
		fmt.Printf("known red: %s %s\n", id.Package, id.Test)
	}
	for _, id := range sortIDs(unexpected) {
		fmt.Printf("FAIL %s %s\n", id.Package, id.Test)
		if b := t.output[id]; b != nil {
			fmt.Print(b.String())
		}
	}
	fmt.Printf("%d passed, %d failed\n", t.passed, len(unexpected))
	switch {
	case len(unexpected) > 0:
		return fmt.Errorf("%d tests failed", len(unexpected))
	case runErr != nil && len(known) == 0:
		return runErr
	case t.passed == 0:
		return fmt.Errorf("no test ran")
	}
	return nil
}

func (t *testResults) hasFailedTest(pkg string) bool {
	for id := range t.failed {
		if id.Package == pkg && id.Test != "" {
			return true
		}
	}
	return false
}

// isKnown reports whether a failed test is listed, by its own name or that of its top-level test, or
// failed only because of subtests that are listed.
func (t *testResults) isKnown(id testID, names map[string]bool) bool {
	if names[id.Test] || names[topLevelName(id.Test)] {
		return true
	}
	hasFailedSubtest := false
	for other := range t.failed {
		if other.Package != id.Package || !strings.HasPrefix(other.Test, id.Test+"/") {
			continue
		}
		if !t.isKnown(other, names) {
			return false
		}
		hasFailedSubtest = true
	}
	return hasFailedSubtest && !strings.Contains(t.ownOutput(id), "_test.go:")
}

// ownOutput returns what a test itself has printed, without its subtests.
func (t *testResults) ownOutput(id testID) string {
	if b := t.output[id]; b != nil {
		return b.String()
	}
	return ""
}

func topLevelName(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

func sortIDs(ids []testID) []testID {
	sort.Slice(ids, func(i, j int) bool { return ids[i].Package+ids[i].Test < ids[j].Package+ids[j].Test })
	return ids
}

// readKnownRed returns the names of the tests and subtests that KNOWN-RED.txt lists.
func readKnownRed() (map[string]bool, error) {
	out := make(map[string]bool)
	text, err := os.ReadFile(knownRedFile)
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
