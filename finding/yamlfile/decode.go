package yamlfile

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/finding"
)

// Defaulter is a struct whose defaults are set before it is decoded.
type Defaulter interface{ SetDefaults() }

// Options change what is reported as a finding.
type Options struct {
	// AllowUnknownFields ignores fields that the struct does not have. It is meant for
	// documents that a newer version of the software accepted.
	AllowUnknownFields bool
}

// Document is one parsed YAML document.
type Document struct {
	file string
	body ast.Node
}

// Parse parses a file that holds one YAML document. The name in file is used in
// findings.
func Parse(file string, data []byte) (*Document, finding.List) {
	body, err := parse(data)
	if err != nil {
		return nil, finding.List{syntaxFinding(file, err)}
	}
	if body == nil {
		return nil, finding.List{{File: file, Line: 1, Column: 1, Message: "the file is empty"}}
	}
	return &Document{file: file, body: body}, nil
}

// Text returns the text of a scalar field at the top level of the document, or ""
// if there is none.
func (d *Document) Text(field string) string {
	m, ok := d.body.(*ast.MappingNode)
	if !ok {
		return ""
	}
	for _, entry := range m.Values {
		if entry.Key.GetToken().Value == field {
			text, _ := scalarText(entry.Value)
			return text
		}
	}
	return ""
}

// Decode fills the struct that dst points to. It returns all findings together;
// values without a finding are decoded even if others have one.
func (d *Document) Decode(dst any, opts Options) (*Positions, finding.List) {
	dec := &decoder{opts: opts, positions: newPositions(d.file)}
	v := reflect.ValueOf(dst).Elem()
	setDefaults(v)
	dec.value("", d.body, v)
	dec.findings.Sort()
	return dec.positions, dec.findings
}

var errMultipleDocuments = errors.New("the file holds more than one YAML document; write one document per file")

func parse(data []byte) (ast.Node, error) {
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	var body ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, errMultipleDocuments
		}
		body = doc.Body
	}
	return body, nil
}

func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{File: file, Message: err.Error(), Fix: "correct the YAML syntax at this position"}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		f.Message = yamlErr.GetMessage()
		if tk := yamlErr.GetToken(); tk != nil && tk.Position != nil {
			f.Line, f.Column = tk.Position.Line, tk.Position.Column
		}
	}
	return f
}

// setDefaults sets the defaults of v and of the structs nested in it, the outer ones
// first.
func setDefaults(v reflect.Value) {
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	if v.Kind() != reflect.Struct {
		return
	}
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() && v.Field(i).Kind() == reflect.Struct {
			setDefaults(v.Field(i))
		}
	}
}

// decoder traverses a YAML document together with the struct that it fills.
type decoder struct {
	opts      Options
	positions *Positions
	findings  finding.List
}

// report adds a finding at a node. Parameter path names the value that cannot be
// used, or is "" if the finding is not about a value.
func (d *decoder) report(path string, n ast.Node, fix, format string, args ...any) {
	position := positionOf(n)
	d.positions.hasFinding[path] = true
	d.findings = append(d.findings, finding.Finding{
		File: d.positions.file, Line: position.Line, Column: position.Column,
		Message: fmt.Sprintf(format, args...), Fix: fix,
	})
}

// value decodes a node into v; path names the value in findings.
func (d *decoder) value(path string, n ast.Node, v reflect.Value) {
	d.positions.values[path] = positionOf(n)
	switch n := n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.report(path, n, "write the value out", "%s uses an anchor, alias or tag, which is not supported", displayName(path))
		return
	case *ast.NullNode:
		d.report(path, n, "give a value or delete the line", "%s is empty", displayName(path))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(path, n, v)
	case reflect.Slice:
		d.sequence(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

// displayName returns the path of a value as it is written in findings.
func displayName(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func (d *decoder) mapping(path string, n ast.Node, v reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.report(path, n, "write fields such as: "+exampleField(v.Type()), "%s is %s, not a group of fields", displayName(path), describeNodeKind(n))
		return
	}
	fields, known := structFields(v)
	seen := make(map[string]Position, len(m.Values))
	for _, entry := range m.Values {
		key := entry.Key.GetToken().Value
		if first, duplicate := seen[key]; duplicate {
			d.report("", entry.Key, "keep one of the two", "%s is given twice, first in line %d", joinPath(path, key), first.Line)
			continue
		}
		seen[key] = positionOf(entry.Key)
		field, ok := fields[key]
		if !ok {
			d.unknown(path, entry.Key, key, known)
			continue
		}
		d.value(joinPath(path, key), entry.Value, field)
	}
}

// unknown reports a field that the struct does not have, and suggests the known
// field with the most similar name.
func (d *decoder) unknown(path string, n ast.Node, key string, known []string) {
	if d.opts.AllowUnknownFields {
		return
	}
	fix := "delete it; the known fields are " + joinNames(known)
	if nearest := Nearest(key, known); nearest != "" {
		fix = "did you mean " + nearest + "?"
	}
	d.report("", n, fix, "unknown field %s", joinPath(path, key))
}

func (d *decoder) sequence(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.report(path, n, "write a list, for example: [a, b]", "%s is %s, not a list", displayName(path), describeNodeKind(n))
		return
	}
	slice := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, item := range s.Values {
		setDefaults(slice.Index(i))
		d.value(indexPath(path, i), item, slice.Index(i))
	}
	v.Set(slice)
}
