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

// Defaulter is a struct that fills in its defaults before it is decoded.
type Defaulter interface{ SetDefaults() }

// Options change what counts as a fault.
type Options struct {
	// AllowUnknown passes over fields that the struct does not have, for
	// documents that a newer version of the software accepted.
	AllowUnknown bool
}

// Document is one parsed YAML document.
type Document struct {
	file string
	body ast.Node
}

// Parse parses a file that holds one YAML document. File names it in findings.
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

// Text returns the text of a scalar field at the top of the document, or ""
// when there is none.
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

// Decode fills the struct that dst points to. All faults are returned together;
// the values without a fault are decoded in any case.
func (d *Document) Decode(dst any, opts Options) (*Places, finding.List) {
	dec := &decoder{opts: opts, places: newPlaces(d.file)}
	v := reflect.ValueOf(dst).Elem()
	setDefaults(v)
	dec.value("", d.body, v)
	dec.findings.Sort()
	return dec.places, dec.findings
}

// errDocuments is returned for a file with more than one YAML document.
var errDocuments = errors.New("the file holds more than one YAML document; write one a file")

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
			return nil, errDocuments
		}
		body = doc.Body
	}
	return body, nil
}

func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{File: file, Message: err.Error(), Fix: "mend the YAML syntax at this place"}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		f.Message = yamlErr.GetMessage()
		if tk := yamlErr.GetToken(); tk != nil && tk.Position != nil {
			f.Line, f.Column = tk.Position.Line, tk.Position.Column
		}
	}
	return f
}

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

// decoder walks a YAML document beside the struct that it fills.
type decoder struct {
	opts     Options
	places   *Places
	findings finding.List
}

// report adds a finding at a node. Path names the value that cannot be used,
// or is "" when none is concerned.
func (d *decoder) report(path string, n ast.Node, fix, format string, args ...any) {
	place := placeOf(n)
	d.places.faulty[path] = true
	d.findings = append(d.findings, finding.Finding{
		File: d.places.file, Line: place.Line, Column: place.Column,
		Message: fmt.Sprintf(format, args...), Fix: fix,
	})
}

// value decodes a node into v; path names the value for findings.
func (d *decoder) value(path string, n ast.Node, v reflect.Value) {
	d.places.values[path] = placeOf(n)
	switch n := n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.report(path, n, "write the value out", "%s uses an anchor, alias or tag, which is not supported", name(path))
		return
	case *ast.NullNode:
		d.report(path, n, "give a value or delete the line", "%s is empty", name(path))
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

func name(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func (d *decoder) mapping(path string, n ast.Node, v reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.report(path, n, "write fields such as: "+example(v.Type()), "%s is %s, not a group of fields", name(path), kindOf(n))
		return
	}
	fields, known := structFields(v)
	seen := make(map[string]Place, len(m.Values))
	for _, entry := range m.Values {
		key := entry.Key.GetToken().Value
		if before, twice := seen[key]; twice {
			d.report("", entry.Key, "keep one of the two", "%s is given twice, first in line %d", join(path, key), before.Line)
			continue
		}
		seen[key] = placeOf(entry.Key)
		field, ok := fields[key]
		if !ok {
			d.unknown(path, entry.Key, key, known)
			continue
		}
		d.value(join(path, key), entry.Value, field)
	}
}

func (d *decoder) unknown(path string, n ast.Node, key string, known []string) {
	if d.opts.AllowUnknown {
		return
	}
	fix := "delete it; the known fields are " + list(known)
	if near := Nearest(key, known); near != "" {
		fix = "did you mean " + near + "?"
	}
	d.report("", n, fix, "unknown field %s", join(path, key))
}

func (d *decoder) sequence(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.report(path, n, "write a list, for example: [a, b]", "%s is %s, not a list", name(path), kindOf(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, item := range s.Values {
		setDefaults(out.Index(i))
		d.value(index(path, i), item, out.Index(i))
	}
	v.Set(out)
}
