package yamlfile

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// scalar decodes a scalar node.
func (d *decoder) scalar(path string, n ast.Node, v reflect.Value) {
	text, ok := scalarText(n)
	if !ok {
		d.report(path, n, "write one value", "%s is %s, not a single value", displayName(path), describeNodeKind(n))
		return
	}
	switch v.Type() {
	case durationType:
		d.duration(path, n, text, v)
		return
	case sizeType:
		d.size(path, n, text, v)
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		if b, isBool := n.(*ast.BoolNode); isBool {
			v.SetBool(b.Value)
			return
		}
		d.report(path, n, "write true or false", "%s is %q, neither true nor false", path, text)
	case reflect.Int:
		if i, err := strconv.Atoi(text); err == nil {
			v.SetInt(int64(i))
			return
		}
		d.report(path, n, "write a whole number, for example 4", "%s is %q, not a whole number", path, text)
	case reflect.Uint64:
		if u, err := strconv.ParseUint(text, 10, 64); err == nil {
			v.SetUint(u)
			return
		}
		d.report(path, n, "write a whole number, for example 4", "%s is %q, not a whole number", path, text)
	case reflect.Float64:
		if f, err := strconv.ParseFloat(text, 64); err == nil {
			v.SetFloat(f)
			return
		}
		d.report(path, n, "write a number, for example 120", "%s is %q, not a number", path, text)
	}
}

func (d *decoder) duration(path string, n ast.Node, text string, v reflect.Value) {
	if t, err := time.ParseDuration(text); err == nil {
		v.SetInt(int64(t))
		return
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		d.report(path, n, "write "+text+"s or "+text+"ms", "%s is %q, a time without a unit", path, text)
		return
	}
	d.report(path, n, "write a number with a unit: ms, s, m or h, for example 500ms", "%s is %q, not a time", path, text)
}

func (d *decoder) size(path string, n ast.Node, text string, v reflect.Value) {
	if size, err := ParseSize(text); err == nil {
		v.SetInt(int64(size))
		return
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		d.report(path, n, "write "+text+"B, or a number of KiB or MiB", "%s is %q, a size without a unit", path, text)
		return
	}
	d.report(path, n, "write a whole number with a unit: B, KiB, MiB or GiB, for example 1MiB", "%s is %q, not a size", path, text)
}

// scalarText returns the text of a scalar node.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// describeNodeKind returns the kind of a node as it is written in findings.
func describeNodeKind(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode:
		return "a group of fields"
	case *ast.SequenceNode:
		return "a list"
	}
	return "a single value"
}

// structFields returns the fields of a struct by their YAML names, and the names in
// alphabetical order.
func structFields(v reflect.Value) (map[string]reflect.Value, []string) {
	fields := make(map[string]reflect.Value, v.NumField())
	known := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("yaml"); tag != "" {
			fields[tag] = v.Field(i)
			known = append(known, tag)
		}
	}
	sort.Strings(known)
	return fields, known
}

// exampleField returns a line of YAML that sets the first field of a struct.
func exampleField(t reflect.Type) string {
	if t.NumField() == 0 {
		return "name: value"
	}
	return t.Field(0).Tag.Get("yaml") + ": value"
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
