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

// checkResult is the output of the command check.
type checkResult struct {
	Documents int          `json:"documents"`
	Findings  finding.List `json:"findings"`
}

// check reads the documents of a directory and prints all findings together.
// Unless the directory defines accounts, the accounts that contracts name are
// taken to exist: they may be defined in another repository.
func check(_ context.Context, cmd *cli.Command) error {
	dir, err := argument(cmd, "a directory or a file")
	if err != nil {
		return err
	}
	files, findings, err := contractfile.ReadDir(dir)
	if err != nil {
		return err
	}
	findings = append(findings, contractfile.CrossCheck(files, nil, referencedAccounts(files))...)
	findings.Sort()
	if len(files) == 0 && len(findings) == 0 {
		return usageError("no document with the extension .yaml or .yml below " + dir)
	}
	return printCheckResult(cmd, checkResult{Documents: len(files), Findings: findings})
}

// referencedAccounts returns the accounts that the contracts in files name, or
// nil if files include an accounts document.
func referencedAccounts(files []*contractfile.File) []string {
	var names []string
	for _, file := range files {
		if file.Document.Accounts != nil {
			return nil
		}
		if file.Document.Contract != nil {
			names = append(names, file.Document.Contract.Accounts...)
		}
	}
	return names
}

// printCheckResult prints findings. It fails if one of them is a fault rather
// than a warning.
func printCheckResult(cmd *cli.Command, result checkResult) error {
	if result.Findings == nil {
		result.Findings = finding.List{}
	}
	err := printOutput(cmd, result, func() {
		if len(result.Findings) == 0 {
			fmt.Fprintf(cmd.Root().Writer, "%s, no findings\n", pluralize(result.Documents, "document"))
			return
		}
		fmt.Fprintln(cmd.Root().Writer, result.Findings.Error())
		fmt.Fprintf(cmd.Root().Writer, "%s, %s\n", pluralize(len(result.Findings)-len(result.Findings.Warnings()), "fault"), pluralize(len(result.Findings.Warnings()), "warning"))
	})
	if err == nil && result.Findings.HasErrors() {
		return exitError{code: exitUsage, err: errors.New("the documents have faults; nothing was published")}
	}
	return err
}

// configuration holds the documents that one host has in force.
type configuration struct {
	revision uint64
	// bySubject includes removed documents.
	bySubject map[string]wire.Document
	// parsedDocuments are those that this version of the tool can read.
	parsedDocuments []contract.Document
	knownAccounts   []string
}

// fetchConfiguration reads all documents in force from a host.
func fetchConfiguration(ctx context.Context, c *client) (*configuration, error) {
	var response wire.Documents
	req := apiRequest{method: http.MethodGet, path: "/v1/documents", query: url.Values{"text": {"1"}}}
	if err := c.do(ctx, req, &response); err != nil {
		return nil, err
	}
	config := &configuration{
		revision:      response.Revision,
		bySubject:     make(map[string]wire.Document, len(response.Documents)),
		knownAccounts: response.KnownAccounts,
	}
	for _, doc := range response.Documents {
		config.bySubject[doc.Subject] = doc
		if doc.Removed {
			continue
		}
		// A document that only a newer version of the tool can read is omitted
		// here; the host checks it.
		if parsed, findings := contractfile.ParseAccepted(doc.Subject, []byte(doc.Text)); !findings.HasErrors() {
			config.parsedDocuments = append(config.parsedDocuments, parsed)
		}
	}
	return config, nil
}

// readAndCheck reads the documents of a directory and checks them together
// with those in force.
func readAndCheck(dir string, config *configuration) ([]*contractfile.File, finding.List, error) {
	files, findings, err := contractfile.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	findings = append(findings, contractfile.CrossCheck(files, config.parsedDocuments, config.knownAccounts)...)
	findings.Sort()
	if len(files) == 0 && len(findings) == 0 {
		return nil, nil, usageError("no document with the extension .yaml or .yml below " + dir)
	}
	return files, findings, nil
}

// validatedDocuments are documents without faults, and the configuration that
// they were checked against.
type validatedDocuments struct {
	client   *client
	config   *configuration
	files    []*contractfile.File
	warnings finding.List
}

// loadAndValidate reads the documents that the command names and checks them
// against the documents in force. If there are faults, it prints them and
// returns an error.
func loadAndValidate(ctx context.Context, cmd *cli.Command) (*validatedDocuments, error) {
	dir, c, err := argumentAndClient(cmd, "a directory or a file")
	if err != nil {
		return nil, err
	}
	config, err := fetchConfiguration(ctx, c)
	if err != nil {
		return nil, err
	}
	files, findings, err := readAndCheck(dir, config)
	if err != nil {
		return nil, err
	}
	if findings.HasErrors() {
		return nil, printCheckResult(cmd, checkResult{Documents: len(files), Findings: findings})
	}
	return &validatedDocuments{client: c, config: config, files: files, warnings: findings.Warnings()}, nil
}
