package yamlfile

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"

	"github.com/crocushinge/crocushinge/finding"
)

// Position is the position of a value in its file. Both numbers start at 1.
type Position struct{ Line, Column int }

// positionOf returns the position of a node. For a mapping in block style that is
// its first key, since the token of the node itself is the colon after that key.
func positionOf(n ast.Node) Position {
	tk := n.GetToken()
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		tk = m.Values[0].Key.GetToken()
	}
	if tk == nil || tk.Position == nil {
		return Position{}
	}
	return Position{Line: tk.Position.Line, Column: tk.Position.Column}
}

// Positions holds the positions of the values of a decoded file.
type Positions struct {
	file   string
	values map[string]Position
	// hasFinding holds the paths of the values that have a finding.
	hasFinding map[string]bool
}

// HasFinding reports whether the value with the path already has a finding, so that
// the caller need not report problems that result from it.
func (p *Positions) HasFinding(path string) bool { return p.hasFinding[path] }

func newPositions(file string) *Positions {
	return &Positions{file: file, values: make(map[string]Position), hasFinding: make(map[string]bool)}
}

// Has reports whether the file contains the value with the path, for example
// "targets[2].slots".
func (p *Positions) Has(path string) bool {
	_, ok := p.values[path]
	return ok
}

// Finding returns a finding at the value with the path. If the file does not
// contain the value, the position is that of the innermost value that encloses it.
func (p *Positions) Finding(path, message, fix string) finding.Finding {
	position := p.values[path]
	if p.Has(path) {
		p.hasFinding[path] = true
	}
	for enclosing := path; position.Line == 0 && enclosing != ""; {
		enclosing = parentPath(enclosing)
		position = p.values[enclosing]
	}
	return finding.Finding{File: p.file, Line: position.Line, Column: position.Column, Message: message, Fix: fix}
}

// parentPath returns a path without its last element.
func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
