// Package finding collects faults of input together with their place, so that
// all of them are reported at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// File is the path as the user gave it; empty when the input is no file.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; 0 means that the place is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Fix says how to mend it.
	Fix string `json:"fix,omitempty"`
	// Warning is set when the input can be used all the same.
	Warning bool `json:"warning,omitempty"`
}

// String formats the finding as "file:line:column: message (fix)". A warning
// says so before its message.
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

// List is a collection of findings. As an error it prints one finding a line.
type List []Finding

// Error implements error.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings that are no warnings as an error, or nil when there
// are none.
func (l List) Err() error {
	faults := l.split(false)
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// Failed reports whether a finding is no warning.
func (l List) Failed() bool { return l.Err() != nil }

// Warnings returns the findings that are warnings.
func (l List) Warnings() List { return l.split(true) }

func (l List) split(warning bool) List {
	var out List
	for _, f := range l {
		if f.Warning == warning {
			out = append(out, f)
		}
	}
	return out
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
