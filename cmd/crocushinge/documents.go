package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/wire"
)

func list(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var response wire.Documents
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/documents"}, &response); err != nil {
		return err
	}
	return printOutput(cmd, response, func() {
		for _, doc := range response.Documents {
			printDocument(cmd, doc)
		}
		fmt.Fprintf(cmd.Root().Writer, "%s, revision %d\n", pluralize(len(response.Documents), "document"), response.Revision)
	})
}

// printDocument prints a change on one line, without the text of the document.
func printDocument(cmd *cli.Command, doc wire.Document) {
	removed := ""
	if doc.Removed {
		removed = " (removed)"
	}
	fmt.Fprintf(cmd.Root().Writer, "%s%s: version %d, revision %d, by %s at %s\n", doc.Subject, removed,
		doc.Version, doc.Revision, doc.Operator, doc.At.Format(time.RFC3339))
}

func get(ctx context.Context, cmd *cli.Command) error {
	path := ""
	if revision := cmd.Uint64("revision"); revision > 0 {
		path = "/v1/changes/" + strconv.FormatUint(revision, 10)
	} else {
		subject, err := argument(cmd, "a service, or accounts/NAME")
		if err != nil {
			return err
		}
		path = "/v1/documents/" + subject
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var doc wire.Document
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: path}, &doc); err != nil {
		return err
	}
	return printOutput(cmd, doc, func() {
		if doc.Removed {
			printDocument(cmd, doc)
			return
		}
		fmt.Fprint(cmd.Root().Writer, doc.Text)
	})
}

func history(ctx context.Context, cmd *cli.Command) error {
	subject, c, err := argumentAndClient(cmd, "a service, or accounts/NAME")
	if err != nil {
		return err
	}
	full := wire.History{Changes: []wire.Document{}}
	// The host returns the history in pages; after is where the next page begins.
	for after := uint64(0); ; {
		var page wire.History
		req := apiRequest{
			method: http.MethodGet, path: "/v1/history/" + subject,
			query: url.Values{"after": {strconv.FormatUint(after, 10)}},
		}
		if err := c.do(ctx, req, &page); err != nil {
			return err
		}
		full.Changes = append(full.Changes, page.Changes...)
		if page.Next == 0 {
			break
		}
		after = page.Next
	}
	if len(full.Changes) == 0 {
		return errors.Errorf("%s has no history", subject)
	}
	return printOutput(cmd, full, func() {
		for _, doc := range full.Changes {
			printDocument(cmd, doc)
		}
	})
}

func remove(ctx context.Context, cmd *cli.Command) error {
	subject, c, err := argumentAndClient(cmd, "a service, or accounts/NAME")
	if err != nil {
		return err
	}
	var current wire.Document
	if err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/documents/" + subject}, &current); err != nil {
		return err
	}
	proposal := cmd.String("proposal")
	if current.Removed && proposal == "" {
		return errors.Errorf("%s is removed already", subject)
	}
	if proposal == "" {
		proposal = uuid.NewString() + ":" + subject
	}
	result, err := c.propose(ctx, plannedChange{subject: subject, baseVersion: current.Version, proposal: proposal})
	if err != nil {
		return err
	}
	if err := printOutput(cmd, result, func() { printResult(cmd, result) }); err != nil {
		return err
	}
	return resultsError([]publish.Result{result})
}

func resolve(ctx context.Context, cmd *cli.Command) error {
	proposal, c, err := argumentAndClient(cmd, "the id of a proposal")
	if err != nil {
		return err
	}
	var result publish.Result
	err = c.do(ctx, apiRequest{method: http.MethodPost, path: "/v1/proposals/" + proposal + "/settle"}, &result)
	if err != nil {
		return exitError{code: exitUnknown, err: errors.Wrapf(err, "the result of proposal %s is still unknown; try again", proposal)}
	}
	if err := printOutput(cmd, result, func() { printResult(cmd, result) }); err != nil {
		return err
	}
	return resultsError([]publish.Result{result})
}
