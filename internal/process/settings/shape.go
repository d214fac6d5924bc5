package settings

import (
	"maps"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/jaytack/jaytack/internal/customer/contract"
)

var (
	addressType  = reflect.TypeFor[netip.AddrPort]()
	durationType = reflect.TypeFor[contract.Duration]()
)

// shapeOf derives from a struct the fields that its document may have.
func shapeOf(t reflect.Type) *contract.Schema {
	switch {
	case t == addressType:
		return &contract.Schema{Check: func(s string) string {
			return checkBy[netip.AddrPort](s, netip.ParseAddrPort, "an IP address with a port")
		}}
	case t == durationType:
		return &contract.Schema{Check: func(s string) string { return checkBy[time.Duration](s, time.ParseDuration, "a duration such as 2s") }}
	}
	switch t.Kind() {
	case reflect.Struct:
		fields, required := fieldsOf(t)
		return &contract.Schema{Fields: fields, Required: required}
	case reflect.Slice:
		return &contract.Schema{Item: shapeOf(t.Elem())}
	case reflect.Int:
		return &contract.Schema{Check: func(s string) string { return checkBy[int](s, strconv.Atoi, "a whole number") }}
	case reflect.Bool:
		return &contract.Schema{Check: func(s string) string { return checkBy[bool](s, strconv.ParseBool, "true or false") }}
	}
	return &contract.Schema{}
}

// fieldsOf returns the fields of a struct, those of embedded ones included, and
// the names of those that must be set.
func fieldsOf(t reflect.Type) (fields map[string]*contract.Schema, required []string) {
	fields = make(map[string]*contract.Schema)
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			inner, needed := fieldsOf(f.Type)
			maps.Copy(fields, inner)
			required = append(required, needed...)
			continue
		}
		fields[f.Name] = shapeOf(f.Type)
		if f.Tag.Get("required") != "" {
			required = append(required, f.Name)
		}
	}
	return fields, required
}

func checkBy[T any](s string, parse func(string) (T, error), what string) string {
	if _, err := parse(s); err != nil {
		return strconv.Quote(s) + " is not " + what
	}
	return ""
}

func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, fv := v.Type().Field(i), v.Field(i)
		if f.Anonymous {
			setDefaults(fv)
			continue
		}
		text := f.Tag.Get("default")
		if text == "" {
			continue
		}
		switch fv.Interface().(type) {
		case string:
			fv.SetString(text)
		case int:
			n, _ := strconv.Atoi(text)
			fv.SetInt(int64(n))
		case uint64:
			n, _ := strconv.ParseUint(text, 10, 64)
			fv.SetUint(n)
		case contract.Duration:
			d, _ := time.ParseDuration(text)
			fv.SetInt(int64(d))
		}
	}
}
