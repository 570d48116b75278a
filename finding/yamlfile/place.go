package yamlfile

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"

	"github.com/crocushinge/crocushinge/finding"
)

// Place is where a value stands in its file; both numbers start at 1.
type Place struct{ Line, Column int }

func placeOf(n ast.Node) Place {
	tk := n.GetToken()
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		tk = m.Values[0].Key.GetToken()
	}
	if tk == nil || tk.Position == nil {
		return Place{}
	}
	return Place{Line: tk.Position.Line, Column: tk.Position.Column}
}

// Places tells where the values of a decoded file stand.
type Places struct {
	file   string
	values map[string]Place
	// faulty holds the paths of the values that have a finding.
	faulty map[string]bool
}

// Faulty reports whether the value with the path has a finding already, so
// that what follows from it need not be reported too.
func (p *Places) Faulty(path string) bool { return p.faulty[path] }

func newPlaces(file string) *Places {
	return &Places{file: file, values: make(map[string]Place), faulty: make(map[string]bool)}
}

// Has reports whether the file gives the value with the path, for example
// "targets[2].slots".
func (p *Places) Has(path string) bool {
	_, ok := p.values[path]
	return ok
}

// Finding returns a finding at the value with the path. A value that the file
// does not give is placed at the nearest value around it.
func (p *Places) Finding(path, message, fix string) finding.Finding {
	place := p.values[path]
	if p.Has(path) {
		p.faulty[path] = true
	}
	for around := path; place.Line == 0 && around != ""; {
		around = parent(around)
		place = p.values[around]
	}
	return finding.Finding{File: p.file, Line: place.Line, Column: place.Column, Message: message, Fix: fix}
}

// parent cuts the last step off a path.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
