// Package finding collects the problems in an input with their positions, so that
// all of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem in an input.
type Finding struct {
	// File is the path as the user gave it, or empty if the input is not a file.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; 0 means that the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Fix says how to correct it.
	Fix string `json:"fix,omitempty"`
	// Warning is set if the input can be used nevertheless.
	Warning bool `json:"warning,omitempty"`
}

// String formats the finding as "file:line:column: message (fix)". The message of
// a warning is prefixed with "warning: ".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Warning {
		b.WriteString("warning: ")
	}
	b.WriteString(f.Message)
	if f.Fix != "" {
		fmt.Fprintf(&b, " (%s)", f.Fix)
	}
	return b.String()
}

// List is a list of findings. As an error it prints one finding per line.
type List []Finding

// Error implements error.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings that are not warnings as an error, or nil if there are
// none.
func (l List) Err() error {
	errs := l.selectByWarning(false)
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// HasErrors reports whether any finding is not a warning.
func (l List) HasErrors() bool { return l.Err() != nil }

// Warnings returns the findings that are warnings.
func (l List) Warnings() List { return l.selectByWarning(true) }

func (l List) selectByWarning(warning bool) List {
	var selected List
	for _, f := range l {
		if f.Warning == warning {
			selected = append(selected, f)
		}
	}
	return selected
}

// Sort orders the findings by file, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
