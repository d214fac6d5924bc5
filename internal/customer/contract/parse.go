package contract

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Parse reads a contract in YAML and returns every problem that it has.
//
// Each problem gives file, line, field and reason. The contract may only be
// used when there are none.
func Parse(file string, text []byte) (Contract, Problems) {
	var c Contract
	problems, readable := Decode(file, text, &c, contractFields)
	if !readable {
		return Contract{}, problems
	}
	var ck checker
	ck.contract(c)
	for _, f := range ck.faults {
		problems = problems.Add(Problem{
			File:   file,
			Line:   LineOfPath(text, f.path),
			Field:  strings.TrimPrefix(f.path, "$."),
			Reason: f.reason,
		})
	}
	return c, problems
}

// Schema describes the fields that a YAML document may have.
//
// A nil shape is a value. A list has its element's shape in Item.
type Schema struct {
	Fields map[string]*Schema
	// Required lists the fields that must be there.
	Required []string
	Item     *Schema
	// Check returns why a value is wrong, or nothing.
	Check func(text string) string
}

var (
	textShape     = &Schema{}
	numberShape   = &Schema{Check: checkNumber}
	intShape      = &Schema{Check: checkInteger}
	boolShape     = &Schema{Check: checkBool}
	durationShape = &Schema{Check: checkDuration}
	addressShape  = &Schema{Check: checkAddress}

	kindFields = &Schema{Required: []string{"Name", "Path", "Weight"}, Fields: map[string]*Schema{
		"Name": textShape, "Path": textShape, "Weight": numberShape, "Deadline": durationShape,
		"Idempotent": boolShape, "Feed": boolShape, "Share": numberShape,
	}}
	serviceFields = &Schema{Required: []string{"Name", "Addresses", "DataCentres", "Slots", "Flows", "Kinds"}, Fields: map[string]*Schema{
		"Name": textShape, "Addresses": {Item: addressShape}, "DataCentres": {Item: textShape},
		"Slots": intShape, "Flows": intShape, "Kinds": {Item: kindFields},
	}}
	limitFields = &Schema{Required: []string{"NewFlowsPerSecond", "RequestsPerSecond", "BodyBytes"}, Fields: map[string]*Schema{
		"NewFlowsPerSecond": numberShape, "RequestsPerSecond": numberShape, "BodyBytes": intShape,
	}}
	contractFields = &Schema{Required: []string{"Customer", "Region", "Services", "Limits"}, Fields: map[string]*Schema{
		"Customer": textShape, "Region": textShape, "Services": {Item: serviceFields}, "Limits": limitFields,
	}}
)

// Decode checks a YAML document against a shape and reads it into out.
//
// It returns all unknown and missing fields and unreadable values together.
// readable is set where no value was unreadable, so that out can be checked further.
func Decode(file string, text []byte, out any, shape *Schema) (problems Problems, readable bool) {
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Problems{{File: file, Line: syntaxLine(err), Field: "document", Reason: firstLine(err)}}, false
	}
	if len(doc.Docs) != 1 || doc.Docs[0].Body == nil {
		return Problems{{File: file, Line: 1, Field: "document", Reason: "must hold exactly one YAML document"}}, false
	}
	w := walker{file: file}
	w.walk("", doc.Docs[0].Body, shape)
	sortProblems(w.problems)
	if w.unreadable {
		return w.problems, false
	}
	if err := yaml.Unmarshal(text, out); err != nil {
		return w.problems.Add(Problem{File: file, Line: syntaxLine(err), Field: "document", Reason: firstLine(err)}), false
	}
	return w.problems, true
}

type walker struct {
	file       string
	problems   Problems
	unreadable bool
}

// bad adds a problem that keeps the document from being read.
func (w *walker) bad(n ast.Node, field, reason string) {
	w.unreadable = true
	w.add(n, field, reason)
}

func (w *walker) add(n ast.Node, field, reason string) {
	line := 1
	if t := n.GetToken(); t != nil && t.Position != nil {
		line = t.Position.Line
	}
	w.problems = append(w.problems, Problem{w.file, line, field, reason})
}

func (w *walker) walk(path string, n ast.Node, shape *Schema) {
	switch {
	case shape.Fields != nil:
		w.walkFields(path, n, shape)
	case shape.Item != nil:
		w.walkItems(path, n, shape)
	default:
		w.walkValue(path, n, shape)
	}
}

func (w *walker) walkFields(path string, n ast.Node, shape *Schema) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		w.bad(n, orDocument(path), "must be a mapping of fields")
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := v.Key.String()
		seen[name] = true
		field := strings.TrimPrefix(path+"."+name, ".")
		s, ok := shape.Fields[name]
		if !ok {
			w.add(v.Key, field, "is not a known field")
			continue
		}
		w.walk(field, v.Value, s)
	}
	for _, name := range shape.Required {
		if !seen[name] {
			w.add(n, strings.TrimPrefix(path+"."+name, "."), "is missing")
		}
	}
}

func (w *walker) walkItems(path string, n ast.Node, shape *Schema) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		w.bad(n, path, "must be a list")
		return
	}
	for i, v := range seq.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v, shape.Item)
	}
}

func (w *walker) walkValue(path string, n ast.Node, shape *Schema) {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode:
		w.bad(n, path, "must be a single value")
		return
	}
	if shape.Check == nil {
		return
	}
	if reason := shape.Check(strings.Trim(n.String(), `"'`)); reason != "" {
		w.bad(n, path, reason)
	}
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

// LineOfPath returns the line of a path such as $.Services[0].Slots, or of the
// nearest enclosing value where the path itself is missing.
func LineOfPath(text []byte, path string) int {
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return 1
	}
	for path != "$" && path != "" {
		if p, err := yaml.PathString(path); err == nil {
			if n, err := p.FilterFile(doc); err == nil && n != nil && n.GetToken() != nil {
				return n.GetToken().Position.Line
			}
		}
		path = path[:strings.LastIndexAny(path, ".[")]
	}
	return 1
}

func syntaxLine(err error) int {
	var line, col int
	if _, e := fmt.Sscanf(err.Error(), "[%d:%d]", &line, &col); e == nil {
		return line
	}
	return 1
}

func firstLine(err error) string {
	s, _, _ := strings.Cut(err.Error(), "\n")
	return s
}

func checkNumber(s string) string {
	if _, err := strconv.ParseFloat(s, 64); err != nil {
		return strconv.Quote(s) + " is not a number"
	}
	return ""
}

func checkInteger(s string) string {
	if _, err := strconv.ParseInt(s, 10, 64); err != nil {
		return strconv.Quote(s) + " is not a whole number"
	}
	return ""
}

func checkBool(s string) string {
	if s != "true" && s != "false" {
		return strconv.Quote(s) + " is neither true nor false"
	}
	return ""
}

func checkDuration(s string) string {
	if _, err := time.ParseDuration(s); err != nil {
		return (&DurationError{Text: s}).Error()
	}
	return ""
}

func checkAddress(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return strconv.Quote(s) + " is not an IP address with a port, such as 127.0.0.1:4433"
	}
	return ""
}
