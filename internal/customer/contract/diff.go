package contract

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Difference is one value that differs between two contracts. Before or After is
// empty if the value is missing.
type Difference struct {
	Field  string
	Before string
	After  string
}

// Diff returns the differences between two contracts, sorted by field. It ignores
// service numbers.
func Diff(before, after Contract) []Difference {
	a, b := flatten(before), flatten(after)
	fields := make(map[string]bool, len(a)+len(b))
	for f := range a {
		fields[f] = true
	}
	for f := range b {
		fields[f] = true
	}
	var out []Difference
	for f := range fields {
		if a[f] != b[f] {
			out = append(out, Difference{f, a[f], b[f]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

func flatten(c Contract) map[string]string {
	services := make([]Service, len(c.Services))
	for i, s := range c.Services {
		s.Number = 0
		services[i] = s
	}
	c.Services = services
	out := make(map[string]string)
	text, err := json.Marshal(c)
	if err != nil {
		return out
	}
	var v any
	if json.Unmarshal(text, &v) == nil {
		flattenValue("", v, out)
	}
	return out
}

func flattenValue(path string, v any, out map[string]string) {
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			flattenValue(joinPath(path, k), e, out)
		}
	case []any:
		for i, e := range x {
			flattenValue(path+"["+elementKey(e, i)+"]", e, out)
		}
	default:
		out[path] = fmt.Sprint(x)
	}
}

// elementKey returns the name of a list element, or i if it has none. Elements with
// a name are thereby compared independently of their order.
func elementKey(e any, i int) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["Name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
