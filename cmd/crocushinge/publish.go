package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/publish"
)

const (
	// sendAttempts is how often a proposal is sent while its answer is lost.
	sendAttempts = 3
	// sendDelay is the time between two of them.
	sendDelay = 500 * time.Millisecond
)

// planned is one document to hand over.
type planned struct {
	subject  string
	document []byte
	base     uint64
	proposal string
}

// publication is the result of the command publish.
type publication struct {
	// Proposal is the id to repeat the whole publication with.
	Proposal string `json:"proposal"`
	// Unchanged are the subjects whose document is in force already.
	Unchanged []string         `json:"unchanged"`
	Results   []publish.Result `json:"results"`
	// Rest are the subjects that were not handed over, because the publication
	// ended before.
	Rest []string `json:"rest,omitempty"`
	// Planned are the subjects that a dry run would hand over.
	Planned []string `json:"planned,omitempty"`
}

func publishAll(ctx context.Context, cmd *cli.Command) error {
	r, err := ready(ctx, cmd)
	if err != nil {
		return err
	}
	p := publication{Proposal: cmd.String("proposal"), Unchanged: []string{}, Results: []publish.Result{}}
	if p.Proposal == "" {
		p.Proposal = uuid.NewString()
	}
	plan := p.plan(r.files, r.now)
	if cmd.Bool("dry-run") {
		for _, item := range plan {
			p.Planned = append(p.Planned, item.subject)
		}
		return show(cmd, p, func() { p.printPlan(cmd, r.warnings.Error()) })
	}
	if len(r.warnings) > 0 {
		fmt.Fprintln(cmd.Root().ErrWriter, r.warnings.Error())
	}
	handErr := p.handOver(ctx, r.client, plan)
	p.noteRest(plan)
	if err := show(cmd, p, func() { p.print(cmd) }); err != nil {
		return err
	}
	if handErr != nil {
		return handErr
	}
	return resultsError(p.Results)
}

// noteRest notes the documents that have no result.
func (p *publication) noteRest(plan []planned) {
	done := make(map[string]bool, len(p.Results))
	for _, r := range p.Results {
		done[r.Subject] = true
	}
	for _, item := range plan {
		if !done[item.subject] {
			p.Rest = append(p.Rest, item.subject)
		}
	}
}

// plan lists the documents that differ from those in force.
func (p *publication) plan(files []*contractfile.File, now *inForce) []planned {
	var plan []planned
	for _, f := range files {
		subject := f.Document.Subject()
		current := now.bySubject[subject]
		if current.Text == string(f.Data) {
			p.Unchanged = append(p.Unchanged, subject)
			continue
		}
		plan = append(plan, planned{
			subject: subject, document: f.Data, base: current.Version, proposal: p.Proposal + ":" + subject,
		})
	}
	return plan
}

// handOver proposes the documents. One that is rejected for its findings is
// tried again after the others, since it may need an account or a route that
// another document of the publication defines or gives up. It ends at the first
// result that is unknown.
func (p *publication) handOver(ctx context.Context, c *client, plan []planned) error {
	for len(plan) > 0 {
		var again []planned
		var held []publish.Result
		for _, item := range plan {
			r, err := c.propose(ctx, item)
			if err != nil {
				return errors.Wrapf(err, "hand over %s", item.subject)
			}
			if r.Reason == publish.ReasonFindings {
				again, held = append(again, item), append(held, r)
				continue
			}
			p.Results = append(p.Results, r)
			if r.Status == publish.Undecided {
				return nil
			}
		}
		if len(again) == len(plan) {
			p.Results = append(p.Results, held...)
			return nil
		}
		plan = again
	}
	return nil
}

// propose sends one proposal. While the answer is lost it sends the same
// proposal again, which the host applies once at most.
func (c *client) propose(ctx context.Context, item planned) (publish.Result, error) {
	q := question{
		method: http.MethodPut, path: "/v1/documents/" + item.subject, body: item.document,
		query: url.Values{"base": {strconv.FormatUint(item.base, 10)}, "proposal": {item.proposal}},
	}
	if len(item.document) == 0 {
		q.method = http.MethodDelete
	}
	unknown := publish.Result{Status: publish.Undecided, Proposal: item.proposal, Subject: item.subject}
	sent := false
	for attempt := range sendAttempts {
		if attempt > 0 {
			time.Sleep(sendDelay)
		}
		var r publish.Result
		err := c.ask(ctx, q, &r)
		switch {
		case err == nil:
			return r, nil
		case errors.Is(err, errNoAnswer):
			sent = true
		case !sent:
			return r, err
		}
	}
	return unknown, nil
}

func (p *publication) printPlan(cmd *cli.Command, warnings string) {
	out := cmd.Root().Writer
	if warnings != "" {
		fmt.Fprintln(out, warnings)
	}
	for _, subject := range p.Planned {
		fmt.Fprintf(out, "%s: would be published\n", subject)
	}
	fmt.Fprintf(out, "%d to publish, %d unchanged; nothing was changed\n", len(p.Planned), len(p.Unchanged))
}

func (p *publication) print(cmd *cli.Command) {
	for _, r := range p.Results {
		printResult(cmd, r)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d handed over, %d unchanged\n", len(p.Results), len(p.Unchanged))
	if len(p.Rest) > 0 {
		fmt.Fprintf(cmd.Root().Writer, "not handed over: %s\n", strings.Join(p.Rest, ", "))
	}
}

// printResult prints one result and, when it is unknown, how to resolve it.
func printResult(cmd *cli.Command, r publish.Result) {
	out := cmd.Root().Writer
	switch {
	case r.Status == publish.Accepted:
		fmt.Fprintf(out, "%s: accepted, version %d, revision %d\n", r.Subject, r.Version, r.Revision)
	case r.Status == publish.Undecided:
		fmt.Fprintf(out, "%s: unknown; the change may be in force or not. Decide it with:\n  crocushinge resolve %s\n", r.Subject, r.Proposal)
	case r.Conflict != nil:
		k := r.Conflict
		fmt.Fprintf(out, "%s: rejected (%s): %s holds version %d, published by %s at %s in revision %d\n", r.Subject, r.Reason,
			k.Subject, k.Version, k.Operator, k.At.Format(time.RFC3339), k.Revision)
	case r.Reason == publish.ReasonFindings:
		fmt.Fprintf(out, "%s: rejected (%s):\n  %s\n", r.Subject, r.Reason, strings.ReplaceAll(r.Findings.Error(), "\n", "\n  "))
	default:
		fmt.Fprintf(out, "%s: %s (%s)\n", r.Proposal, r.Status, r.Reason)
	}
}

// resultsError returns the error for the worst of several results.
func resultsError(results []publish.Result) error {
	rejected := 0
	for _, r := range results {
		switch r.Status {
		case publish.Undecided:
			return exitError{code: exitUnknown, err: errors.Errorf("the result of proposal %s is unknown", r.Proposal)}
		case publish.Rejected:
			rejected++
		}
	}
	if rejected > 0 {
		return exitError{code: exitRejected, err: errors.Errorf("%s rejected", count(rejected, "proposal"))}
	}
	return nil
}
