package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/finding"
	"github.com/crocushinge/crocushinge/wire"
)

// checked is the result of the command check.
type checked struct {
	Documents int          `json:"documents"`
	Findings  finding.List `json:"findings"`
}

// check reads the documents of a directory and prints all findings together.
// Accounts are not looked up unless the directory defines some: they may stand
// in another repository.
func check(_ context.Context, cmd *cli.Command) error {
	dir, err := argument(cmd, "a directory or a file")
	if err != nil {
		return err
	}
	files, findings, err := contractfile.ReadDir(dir)
	if err != nil {
		return err
	}
	findings = append(findings, contractfile.CrossCheck(files, nil, referenced(files))...)
	findings.Sort()
	if len(files) == 0 && len(findings) == 0 {
		return usageError("no document with the extension .yaml or .yml below " + dir)
	}
	return report(cmd, checked{Documents: len(files), Findings: findings})
}

// referenced returns the accounts that contracts name when no accounts
// document stands beside them.
func referenced(files []*contractfile.File) []string {
	var names []string
	for _, f := range files {
		if f.Document.Accounts != nil {
			return nil
		}
		if f.Document.Contract != nil {
			names = append(names, f.Document.Contract.Accounts...)
		}
	}
	return names
}

// report prints findings and fails when one of them is no warning.
func report(cmd *cli.Command, c checked) error {
	if c.Findings == nil {
		c.Findings = finding.List{}
	}
	err := show(cmd, c, func() {
		if len(c.Findings) == 0 {
			fmt.Fprintf(cmd.Root().Writer, "%s, no findings\n", count(c.Documents, "document"))
			return
		}
		fmt.Fprintln(cmd.Root().Writer, c.Findings.Error())
		fmt.Fprintf(cmd.Root().Writer, "%s, %s\n", count(len(c.Findings)-len(c.Findings.Warnings()), "fault"), count(len(c.Findings.Warnings()), "warning"))
	})
	if err == nil && c.Findings.HasErrors() {
		return exitError{code: exitUsage, err: errors.New("the documents have faults; nothing was published")}
	}
	return err
}

// inForce is what a host has in force, by subject.
type inForce struct {
	revision      uint64
	bySubject     map[string]wire.Document
	documents     []contract.Document
	knownAccounts []string
}

// readInForce reads all documents in force from a host.
func readInForce(ctx context.Context, c *client) (*inForce, error) {
	var answer wire.Documents
	q := question{method: http.MethodGet, path: "/v1/documents", query: url.Values{"text": {"1"}}}
	if err := c.ask(ctx, q, &answer); err != nil {
		return nil, err
	}
	out := &inForce{
		revision:      answer.Revision,
		bySubject:     make(map[string]wire.Document, len(answer.Documents)),
		knownAccounts: answer.KnownAccounts,
	}
	for _, doc := range answer.Documents {
		out.bySubject[doc.Subject] = doc
		if doc.Removed {
			continue
		}
		// A document that only a newer version of the tool can read is left to
		// the host's own check.
		if d, findings := contractfile.ParseAccepted(doc.Subject, []byte(doc.Text)); !findings.HasErrors() {
			out.documents = append(out.documents, d)
		}
	}
	return out, nil
}

// checkAgainst reads the documents of a directory and checks them beside what
// is in force.
func checkAgainst(dir string, now *inForce) ([]*contractfile.File, finding.List, error) {
	files, findings, err := contractfile.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	findings = append(findings, contractfile.CrossCheck(files, now.documents, now.knownAccounts)...)
	findings.Sort()
	if len(files) == 0 && len(findings) == 0 {
		return nil, nil, usageError("no document with the extension .yaml or .yml below " + dir)
	}
	return files, findings, nil
}

// readied is a collection of documents without faults, beside what is in
// force.
type readied struct {
	client   *client
	now      *inForce
	files    []*contractfile.File
	warnings finding.List
}

// ready collects the documents that the command names and checks them against
// what is in force. Faults are printed and end the command.
func ready(ctx context.Context, cmd *cli.Command) (*readied, error) {
	dir, c, err := argumentAndClient(cmd, "a directory or a file")
	if err != nil {
		return nil, err
	}
	now, err := readInForce(ctx, c)
	if err != nil {
		return nil, err
	}
	files, findings, err := checkAgainst(dir, now)
	if err != nil {
		return nil, err
	}
	if findings.HasErrors() {
		return nil, report(cmd, checked{Documents: len(files), Findings: findings})
	}
	return &readied{client: c, now: now, files: files, warnings: findings.Warnings()}, nil
}
