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
	// proposeAttempts is the maximum number of attempts to send a proposal
	// whose response is lost.
	proposeAttempts = 3
	// proposeRetryDelay is the delay between two attempts.
	proposeRetryDelay = 500 * time.Millisecond
)

// plannedChange is one document to propose; an empty document removes the
// subject.
type plannedChange struct {
	subject     string
	document    []byte
	baseVersion uint64
	proposal    string
}

// publication is the output of the command publish.
type publication struct {
	// Proposal is the id of the whole publication. Publishing with the same id
	// repeats it.
	Proposal string `json:"proposal"`
	// Unchanged are the subjects whose document is already in force.
	Unchanged []string         `json:"unchanged"`
	Results   []publish.Result `json:"results"`
	// NotSubmitted are the subjects that were not proposed or have no result, because
	// the publication ended early.
	NotSubmitted []string `json:"rest,omitempty"`
	// Planned are the subjects that a dry run would publish.
	Planned []string `json:"planned,omitempty"`
}

func publishAll(ctx context.Context, cmd *cli.Command) error {
	validated, err := loadAndValidate(ctx, cmd)
	if err != nil {
		return err
	}
	p := publication{Proposal: cmd.String("proposal"), Unchanged: []string{}, Results: []publish.Result{}}
	if p.Proposal == "" {
		p.Proposal = uuid.NewString()
	}
	changes := p.plan(validated.files, validated.config)
	if cmd.Bool("dry-run") {
		for _, change := range changes {
			p.Planned = append(p.Planned, change.subject)
		}
		return printOutput(cmd, p, func() { p.printPlan(cmd, validated.warnings.Error()) })
	}
	if len(validated.warnings) > 0 {
		fmt.Fprintln(cmd.Root().ErrWriter, validated.warnings.Error())
	}
	submitErr := p.submit(ctx, validated.client, changes)
	p.recordNotSubmitted(changes)
	if err := printOutput(cmd, p, func() { p.print(cmd) }); err != nil {
		return err
	}
	if submitErr != nil {
		return submitErr
	}
	return resultsError(p.Results)
}

// recordNotSubmitted sets NotSubmitted to the subjects that have no result.
func (p *publication) recordNotSubmitted(changes []plannedChange) {
	hasResult := make(map[string]bool, len(p.Results))
	for _, result := range p.Results {
		hasResult[result.Subject] = true
	}
	for _, change := range changes {
		if !hasResult[change.subject] {
			p.NotSubmitted = append(p.NotSubmitted, change.subject)
		}
	}
}

// plan returns the documents that differ from those in force or that the table has lost, and
// records the others as unchanged.
func (p *publication) plan(files []*contractfile.File, config *configuration) []plannedChange {
	var changes []plannedChange
	for _, file := range files {
		subject := file.Document.Subject()
		current := config.bySubject[subject]
		if current.Text == string(file.Data) && !current.Kept {
			p.Unchanged = append(p.Unchanged, subject)
			continue
		}
		changes = append(changes, plannedChange{
			subject: subject, document: file.Data, baseVersion: current.Version, proposal: p.Proposal + ":" + subject,
		})
	}
	return changes
}

// submit proposes the documents. If a document is rejected for its findings,
// submit proposes it again after the others: it may need an account that another
// document of the publication defines, or a route that another one gives up.
// submit stops at the first unknown result, or when every document of a pass was
// rejected for its findings.
func (p *publication) submit(ctx context.Context, c *client, changes []plannedChange) error {
	for len(changes) > 0 {
		var retry []plannedChange
		var rejected []publish.Result
		for _, change := range changes {
			result, err := c.propose(ctx, change)
			if err != nil {
				return errors.Wrapf(err, "hand over %s", change.subject)
			}
			if result.Reason == publish.ReasonFindings {
				retry, rejected = append(retry, change), append(rejected, result)
				continue
			}
			p.Results = append(p.Results, result)
			if result.Status == publish.Undecided {
				return nil
			}
		}
		if len(retry) == len(changes) {
			p.Results = append(p.Results, rejected...)
			return nil
		}
		changes = retry
	}
	return nil
}

// propose sends one proposal. If the response is lost, it sends the same
// proposal again; the host applies it at most once. The result is unknown when
// an attempt may have reached the host and no attempt got a result.
func (c *client) propose(ctx context.Context, change plannedChange) (publish.Result, error) {
	req := apiRequest{
		method: http.MethodPut, path: "/v1/documents/" + change.subject, body: change.document,
		query: url.Values{"base": {strconv.FormatUint(change.baseVersion, 10)}, "proposal": {change.proposal}},
	}
	if len(change.document) == 0 {
		req.method = http.MethodDelete
	}
	unknownResult := publish.Result{Status: publish.Undecided, Proposal: change.proposal, Subject: change.subject}
	maybeReceived := false
	for attempt := range proposeAttempts {
		if attempt > 0 {
			time.Sleep(proposeRetryDelay)
		}
		var result publish.Result
		err := c.do(ctx, req, &result)
		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, errNoResponse):
			maybeReceived = true
		case !maybeReceived:
			return result, err
		}
	}
	return unknownResult, nil
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
	for _, result := range p.Results {
		printResult(cmd, result)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d handed over, %d unchanged\n", len(p.Results), len(p.Unchanged))
	if len(p.NotSubmitted) > 0 {
		fmt.Fprintf(cmd.Root().Writer, "not handed over: %s\n", strings.Join(p.NotSubmitted, ", "))
	}
}

// printResult prints one result and, if it is unknown, the command to resolve it.
func printResult(cmd *cli.Command, result publish.Result) {
	out := cmd.Root().Writer
	switch {
	case result.Status == publish.Accepted:
		fmt.Fprintf(out, "%s: accepted, version %d, revision %d\n", result.Subject, result.Version, result.Revision)
	case result.Status == publish.Undecided:
		fmt.Fprintf(out, "%s: unknown; the change may be in force or not. Decide it with:\n  crocushinge resolve %s\n", result.Subject, result.Proposal)
	case result.Conflict != nil:
		conflict := result.Conflict
		fmt.Fprintf(out, "%s: rejected (%s): %s holds version %d, published by %s at %s in revision %d\n", result.Subject, result.Reason,
			conflict.Subject, conflict.Version, conflict.Operator, conflict.At.Format(time.RFC3339), conflict.Revision)
	case result.Reason == publish.ReasonFindings:
		fmt.Fprintf(out, "%s: rejected (%s):\n  %s\n", result.Subject, result.Reason, strings.ReplaceAll(result.Findings.Error(), "\n", "\n  "))
	default:
		fmt.Fprintf(out, "%s: %s (%s)\n", result.Proposal, result.Status, result.Reason)
	}
}

// resultsError returns the error for the worst of several results: unknown
// before rejected. It is nil if all were accepted.
func resultsError(results []publish.Result) error {
	rejected := 0
	for _, result := range results {
		switch result.Status {
		case publish.Undecided:
			return exitError{code: exitUnknown, err: errors.Errorf("the result of proposal %s is unknown", result.Proposal)}
		case publish.Rejected:
			rejected++
		}
	}
	if rejected > 0 {
		return exitError{code: exitRejected, err: errors.Errorf("%s rejected", pluralize(rejected, "proposal"))}
	}
	return nil
}
