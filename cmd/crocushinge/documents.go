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
	var answer wire.Documents
	if err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/documents"}, &answer); err != nil {
		return err
	}
	return show(cmd, answer, func() {
		for _, doc := range answer.Documents {
			printDocument(cmd, doc)
		}
		fmt.Fprintf(cmd.Root().Writer, "%s, revision %d\n", count(len(answer.Documents), "document"), answer.Revision)
	})
}

// printDocument prints one change in one line.
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
	if err := c.ask(ctx, question{method: http.MethodGet, path: path}, &doc); err != nil {
		return err
	}
	return show(cmd, doc, func() {
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
	all := wire.History{Changes: []wire.Document{}}
	for after := uint64(0); ; {
		var page wire.History
		q := question{
			method: http.MethodGet, path: "/v1/history/" + subject,
			query: url.Values{"after": {strconv.FormatUint(after, 10)}},
		}
		if err := c.ask(ctx, q, &page); err != nil {
			return err
		}
		all.Changes = append(all.Changes, page.Changes...)
		if page.Next == 0 {
			break
		}
		after = page.Next
	}
	if len(all.Changes) == 0 {
		return errors.Errorf("%s has no history", subject)
	}
	return show(cmd, all, func() {
		for _, doc := range all.Changes {
			printDocument(cmd, doc)
		}
	})
}

func remove(ctx context.Context, cmd *cli.Command) error {
	subject, c, err := argumentAndClient(cmd, "a service, or accounts/NAME")
	if err != nil {
		return err
	}
	var doc wire.Document
	if err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/documents/" + subject}, &doc); err != nil {
		return err
	}
	id := cmd.String("proposal")
	if doc.Removed && id == "" {
		return errors.Errorf("%s is removed already", subject)
	}
	if id == "" {
		id = uuid.NewString() + ":" + subject
	}
	r, err := c.propose(ctx, planned{subject: subject, base: doc.Version, proposal: id})
	if err != nil {
		return err
	}
	if err := show(cmd, r, func() { printResult(cmd, r) }); err != nil {
		return err
	}
	return resultsError([]publish.Result{r})
}

func resolve(ctx context.Context, cmd *cli.Command) error {
	id, c, err := argumentAndClient(cmd, "the id of a proposal")
	if err != nil {
		return err
	}
	var r publish.Result
	err = c.ask(ctx, question{method: http.MethodPost, path: "/v1/proposals/" + id + "/settle"}, &r)
	if err != nil {
		return exitError{code: exitUnknown, err: errors.Wrapf(err, "the result of proposal %s is still unknown; try again", id)}
	}
	if err := show(cmd, r, func() { printResult(cmd, r) }); err != nil {
		return err
	}
	return resultsError([]publish.Result{r})
}
