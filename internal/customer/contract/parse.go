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

// Parse parses and validates a contract in YAML and returns all of its problems.
//
// Each problem has file, line, field and reason. The contract may be used only if
// there are none.
func Parse(file string, text []byte) (Contract, Problems) {
	var c Contract
	problems, readable := Decode(file, text, &c, contractSchema)
	if !readable {
		return Contract{}, problems
	}
	var ck contractChecker
	ck.checkContract(c)
	for _, f := range ck.problems {
		problems = problems.Add(Problem{
			File:   file,
			Line:   LineOfPath(text, f.path),
			Field:  strings.TrimPrefix(f.path, "$."),
			Reason: f.reason,
		})
	}
	return c, problems
}

// Schema describes the structure of a YAML document.
//
// A mapping has Fields, a list has Item, and a scalar has neither.
type Schema struct {
	Fields map[string]*Schema
	// Required lists the mandatory fields.
	Required []string
	// Item is the schema of the elements of a list.
	Item *Schema
	// Check returns the reason why a scalar is invalid, or an empty string.
	Check func(text string) string
}

var (
	textSchema     = &Schema{}
	numberSchema   = &Schema{Check: checkNumber}
	intSchema      = &Schema{Check: checkInteger}
	boolSchema     = &Schema{Check: checkBool}
	durationSchema = &Schema{Check: checkDuration}
	addressSchema  = &Schema{Check: checkAddress}

	kindSchema = &Schema{Required: []string{"Name", "Path", "Weight"}, Fields: map[string]*Schema{
		"Name": textSchema, "Path": textSchema, "Weight": numberSchema, "Deadline": durationSchema,
		"Idempotent": boolSchema, "Feed": boolSchema, "Share": numberSchema,
	}}
	serviceSchema = &Schema{Required: []string{"Name", "Addresses", "DataCentres", "Slots", "Flows", "Kinds"}, Fields: map[string]*Schema{
		"Name": textSchema, "Addresses": {Item: addressSchema}, "DataCentres": {Item: textSchema},
		"Slots": intSchema, "Flows": intSchema, "Kinds": {Item: kindSchema},
	}}
	limitsSchema = &Schema{Required: []string{"NewFlowsPerSecond", "RequestsPerSecond", "BodyBytes"}, Fields: map[string]*Schema{
		"NewFlowsPerSecond": numberSchema, "RequestsPerSecond": numberSchema, "BodyBytes": intSchema,
	}}
	contractSchema = &Schema{Required: []string{"Customer", "Region", "Services", "Limits"}, Fields: map[string]*Schema{
		"Customer": textSchema, "Region": textSchema, "Services": {Item: serviceSchema}, "Limits": limitsSchema,
	}}
)

// Decode checks a YAML document against a schema and decodes it into out.
//
// It returns all unknown fields, missing fields and unreadable values. readable
// reports whether out was decoded and can be validated further.
func Decode(file string, text []byte, out any, schema *Schema) (problems Problems, readable bool) {
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return Problems{{File: file, Line: errorLine(err), Field: "document", Reason: firstLine(err)}}, false
	}
	if len(doc.Docs) != 1 || doc.Docs[0].Body == nil {
		return Problems{{File: file, Line: 1, Field: "document", Reason: "must hold exactly one YAML document"}}, false
	}
	w := walker{file: file}
	w.walk("", doc.Docs[0].Body, schema)
	sortProblems(w.problems)
	if w.unreadable {
		return w.problems, false
	}
	if err := yaml.Unmarshal(text, out); err != nil {
		return w.problems.Add(Problem{File: file, Line: errorLine(err), Field: "document", Reason: firstLine(err)}), false
	}
	return w.problems, true
}

type walker struct {
	file       string
	problems   Problems
	unreadable bool
}

// addUnreadable adds a problem that prevents the document from being decoded.
func (w *walker) addUnreadable(n ast.Node, field, reason string) {
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

func (w *walker) walk(path string, n ast.Node, schema *Schema) {
	switch {
	case schema.Fields != nil:
		w.walkMapping(path, n, schema)
	case schema.Item != nil:
		w.walkList(path, n, schema)
	default:
		w.walkScalar(path, n, schema)
	}
}

func (w *walker) walkMapping(path string, n ast.Node, schema *Schema) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		w.addUnreadable(n, fieldOrDocument(path), "must be a mapping of fields")
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := v.Key.String()
		seen[name] = true
		field := strings.TrimPrefix(path+"."+name, ".")
		s, ok := schema.Fields[name]
		if !ok {
			w.add(v.Key, field, "is not a known field")
			continue
		}
		w.walk(field, v.Value, s)
	}
	for _, name := range schema.Required {
		if !seen[name] {
			w.add(n, strings.TrimPrefix(path+"."+name, "."), "is missing")
		}
	}
}

func (w *walker) walkList(path string, n ast.Node, schema *Schema) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		w.addUnreadable(n, path, "must be a list")
		return
	}
	for i, v := range seq.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v, schema.Item)
	}
}

func (w *walker) walkScalar(path string, n ast.Node, schema *Schema) {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode:
		w.addUnreadable(n, path, "must be a single value")
		return
	}
	if schema.Check == nil {
		return
	}
	if reason := schema.Check(strings.Trim(n.String(), `"'`)); reason != "" {
		w.addUnreadable(n, path, reason)
	}
}

func fieldOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

// LineOfPath returns the line of a path such as $.Services[0].Slots. If the document
// does not have the path, it returns the line of the nearest enclosing value.
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

func errorLine(err error) int {
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
