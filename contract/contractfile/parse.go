// Package contractfile parses and checks contracts, accounts documents and
// drains in YAML. Each finding has its position in the file.
package contractfile

import (
	"fmt"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// Values of the field kind. A file without this field is a contract.
const (
	kindContract = "contract"
	kindAccounts = "accounts"
	kindDrain    = "drain"
)

// File is one parsed document with the positions of its fields.
type File struct {
	// Name is the path of the file as the user gave it.
	Name string
	// Data is the content of the file.
	Data []byte
	// Document is what the file declares.
	Document  contract.Document
	positions *yamlfile.Positions
}

// Parse parses one file and checks it without looking at other documents. It
// returns all findings, sorted by position. The file is nil when at least one
// finding is an error, not a warning.
func Parse(name string, data []byte) (*File, finding.List) {
	return parse(name, data, yamlfile.Options{})
}

// ParseAccepted parses a document that was accepted before. It ignores unknown
// fields, so that a host that runs an older version can use documents that were
// accepted by a newer version.
func ParseAccepted(name string, data []byte) (contract.Document, finding.List) {
	f, findings := parse(name, data, yamlfile.Options{AllowUnknownFields: true})
	if f == nil {
		return contract.Document{}, findings
	}
	return f.Document, nil
}

func parse(name string, data []byte, opts yamlfile.Options) (*File, finding.List) {
	if len(data) > maxFileBytes {
		return nil, finding.List{{
			File: name, Line: 1, Column: 1, Message: fmt.Sprintf("the file has %d bytes, above the limit of %d", len(data), maxFileBytes),
			Fix: "split it over several documents",
		}}
	}
	doc, findings := yamlfile.Parse(name, data)
	if doc == nil {
		return nil, findings
	}
	f := &File{Name: name, Data: data}
	var problems []contract.Problem
	switch kind := doc.Text("kind"); kind {
	case "", kindContract:
		f.Document.Contract, findings = f.readContract(doc, opts)
		problems = f.Document.Contract.Check()
	case kindAccounts:
		f.Document.Accounts, findings = f.readAccounts(doc, opts)
		problems = f.Document.Accounts.Check()
	case kindDrain:
		f.Document.Drain, findings = f.readDrain(doc, opts)
		problems = f.Document.Drain.Check()
	default:
		findings = finding.List{{
			File: name, Line: 1, Column: 1, Message: "kind \"" + kind + "\" is not known",
			Fix: "write one of " + kindContract + ", " + kindAccounts + ", " + kindDrain,
		}}
	}
	findings = f.addProblems(findings, problems)
	if findings.HasErrors() {
		return nil, findings
	}
	return f, findings
}

// addProblems adds the problems to the findings of the decoder. It omits the
// problems of a value that could not be decoded, because the decoder has
// already reported that value.
func (f *File) addProblems(findings finding.List, problems []contract.Problem) finding.List {
	var added []contract.Problem
	for _, problem := range problems {
		if !f.positions.HasFinding(problem.Field) {
			added = append(added, problem)
		}
	}
	for _, problem := range added {
		findings = append(findings, f.Finding(problem))
	}
	findings.Sort()
	return findings
}

// Finding converts a problem to a finding with a position in the file.
func (f *File) Finding(problem contract.Problem) finding.Finding {
	found := f.positions.Finding(problem.Field, problem.Message, problem.Fix)
	found.Warning = problem.Warning
	return found
}

// CrossCheck returns the findings that involve more than one document, among the
// files and the documents in force. A document in force is ignored when one of
// the files replaces it. KnownAccounts lists accounts that are defined outside
// the documents.
func CrossCheck(files []*File, inForce []contract.Document, knownAccounts []string) finding.List {
	replaced := make(map[string]bool, len(files))
	for _, f := range files {
		replaced[f.Document.Subject()] = true
	}
	var documents []contract.Document
	for _, d := range inForce {
		if !replaced[d.Subject()] {
			documents = append(documents, d)
		}
	}
	remaining := len(documents) // documents in force precede the files
	for _, f := range files {
		documents = append(documents, f.Document)
	}
	var out finding.List
	for _, problem := range contract.CrossCheck(documents, knownAccounts) {
		if problem.Index >= remaining {
			out = append(out, files[problem.Index-remaining].Finding(problem.Problem))
			continue
		}
		out = append(out, finding.Finding{
			Message: "in force, " + problem.Subject + ": " + problem.Message, Fix: problem.Fix,
		})
	}
	out.Sort()
	return out
}
