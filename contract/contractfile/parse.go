// Package contractfile reads contracts and accounts documents from YAML files
// and gives each finding its place in the file.
package contractfile

import (
	"fmt"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/finding/yamlfile"
)

// Kinds of documents. A file without a kind is a contract.
const (
	kindContract = "contract"
	kindAccounts = "accounts"
	kindDrain    = "drain"
)

// File is one document with the places of its fields.
type File struct {
	// Name is the path of the file as the user gave it.
	Name string
	// Data is the text of the file.
	Data []byte
	// Document is what the file declares.
	Document contract.Document
	places   *yamlfile.Places
}

// Parse reads one file and checks it alone. All findings are returned
// together, sorted by place; the file is nil when one of them is no warning.
func Parse(name string, data []byte) (*File, finding.List) {
	return parse(name, data, yamlfile.Options{})
}

// ParseAccepted reads a document that was accepted before. It passes over
// fields that this version does not know, so that a host of an older version
// keeps serving what a newer one accepted.
func ParseAccepted(name string, data []byte) (contract.Document, finding.List) {
	f, findings := parse(name, data, yamlfile.Options{AllowUnknown: true})
	if f == nil {
		return contract.Document{}, findings
	}
	return f.Document, nil
}

func parse(name string, data []byte, opts yamlfile.Options) (*File, finding.List) {
	if len(data) > maxFile {
		return nil, finding.List{{
			File: name, Line: 1, Column: 1, Message: fmt.Sprintf("the file has %d bytes, above the limit of %d", len(data), maxFile),
			Fix: "split it over several documents",
		}}
	}
	doc, findings := yamlfile.Parse(name, data)
	if doc == nil {
		return nil, findings
	}
	f := &File{Name: name, Data: data}
	var faults []contract.Fault
	switch kind := doc.Text("kind"); kind {
	case "", kindContract:
		f.Document.Contract, findings = f.readContract(doc, opts)
		faults = f.Document.Contract.Check()
	case kindAccounts:
		f.Document.Accounts, findings = f.readAccounts(doc, opts)
		faults = f.Document.Accounts.Check()
	case kindDrain:
		f.Document.Drain, findings = f.readDrain(doc, opts)
		faults = f.Document.Drain.Check()
	default:
		findings = finding.List{{
			File: name, Line: 1, Column: 1, Message: "kind \"" + kind + "\" is not known",
			Fix: "write one of " + kindContract + ", " + kindAccounts + ", " + kindDrain,
		}}
	}
	findings = f.merge(findings, faults)
	if findings.Failed() {
		return nil, findings
	}
	return f, findings
}

// merge adds the faults to the findings of the decoder, but for those of values
// that could not be decoded.
func (f *File) merge(findings finding.List, faults []contract.Fault) finding.List {
	var rest []contract.Fault
	for _, fault := range faults {
		if !f.places.Faulty(fault.Field) {
			rest = append(rest, fault)
		}
	}
	for _, fault := range rest {
		findings = append(findings, f.Finding(fault))
	}
	findings.Sort()
	return findings
}

// Finding gives a fault its place in the file.
func (f *File) Finding(fault contract.Fault) finding.Finding {
	found := f.places.Finding(fault.Field, fault.Message, fault.Fix)
	found.Warning = fault.Warning
	return found
}

// CrossCheck checks files beside each other and beside what is in force. A
// document in force is left out when one of the files replaces it. Known lists
// accounts that stand in no document.
func CrossCheck(files []*File, inForce []contract.Document, known []string) finding.List {
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
	kept := len(documents)
	for _, f := range files {
		documents = append(documents, f.Document)
	}
	var out finding.List
	for _, fault := range contract.CrossCheck(documents, known) {
		if fault.Index >= kept {
			out = append(out, files[fault.Index-kept].Finding(fault.Fault))
			continue
		}
		out = append(out, finding.Finding{
			Message: "in force, " + fault.Subject + ": " + fault.Message, Fix: fault.Fix,
		})
	}
	out.Sort()
	return out
}
