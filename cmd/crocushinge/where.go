package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/pool"
)

const (
	// maxExplanationBytes limits an explanation. One of a service with 1,000 targets has 200 KB.
	maxExplanationBytes = 4 << 20
	// maxNextCandidates is how many candidates are printed after the chosen target.
	maxNextCandidates = 5
)

func whereFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "`HOST:PORT` of the gateway's metrics", Required: true},
		&cli.StringFlag{Name: "host", Usage: "`AUTHORITY` of the request", Required: true},
		&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
		&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account; never a key"},
		&cli.BoolFlag{Name: "json", Usage: "the same as --output json"},
	}
}

// where prints where a request would go. The request is not sent.
func where(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{"host": {cmd.String("host")}, "path": {cmd.String("path")}}
	if account := cmd.String("account"); account != "" {
		query.Set("account", account)
	}
	x, err := fetchExplanation(ctx, cmd.Duration("timeout"), cmd.String("address"), query)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := cmd.Set("output", outputJSON); err != nil {
			return errors.Wrap(err, "select JSON")
		}
	}
	return printOutput(cmd, x, func() { printExplanation(cmd.Root().Writer, x) })
}

func fetchExplanation(ctx context.Context, timeout time.Duration, address string, query url.Values) (x fleet.Explanation, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: "/explain", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return x, errors.Wrap(err, "build the request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return x, errors.Wrap(err, "ask the gateway")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return x, errors.Wrap(err, "read the explanation")
	}
	if resp.StatusCode != http.StatusOK {
		return x, errors.Errorf("the gateway answered %s: %s", resp.Status, strings.TrimSpace(string(data)))
	}
	return x, errors.Wrap(json.Unmarshal(data, &x), "decode the explanation")
}

func printExplanation(w io.Writer, x fleet.Explanation) {
	fmt.Fprintf(w, "As host %s sees it, by configuration %d:\n", x.Host, x.Configuration)
	if x.Route != "" {
		fmt.Fprintf(w, "Route %s (prefix %s), priority %d.\n", x.Route, x.Prefix, x.Priority)
	}
	if q := x.Quota; q != nil {
		fmt.Fprintf(w, "Account %s has %.1f of %.1f tokens at this host, which uses %.0f%% of the quota.\n", x.Account, q.Tokens, q.Depth, 100*q.Share)
	}
	if x.Refusal != "" {
		fmt.Fprintf(w, "The request would be refused: %s.\n", x.Refusal)
	}
	if x.RetryAfterMillis > 0 {
		fmt.Fprintf(w, "It may come back in %d ms.\n", x.RetryAfterMillis)
	}
	for _, s := range x.Services {
		printServiceExplanation(w, s)
	}
}

func printServiceExplanation(w io.Writer, s fleet.ServiceExplanation) {
	fmt.Fprintf(w, "\nService %s gets %.0f%% of the route's requests. %s, %d suspected, %d in the working set; %s free; typical latency %d ms.\n",
		s.Service, 100*s.Share, pluralize(s.Targets, "target"), s.Suspects, s.WorkingSet, pluralize(s.FreeSlots, "slot"), s.TypicalLatencyMillis)
	fmt.Fprintf(w, "Decision: %s", s.Verdict)
	if s.Reason != "" {
		fmt.Fprintf(w, ", since %s", s.Reason)
	}
	fmt.Fprintf(w, "; expected wait %d ms, %s ahead.\n", s.ExpectedWaitMillis, pluralize(s.Ahead, "request"))
	next := s.Candidates
	if s.Chosen != nil {
		fmt.Fprintf(w, "Chosen: %s\n", candidateText(*s.Chosen))
		if len(next) > 0 && next[0].Target == s.Chosen.Target {
			next = next[1:]
		}
	}
	for _, c := range next[:min(len(next), maxNextCandidates)] {
		fmt.Fprintf(w, "Next: %s\n", candidateText(c))
	}
	for _, c := range s.OutOfUse {
		fmt.Fprintf(w, "Out of use: %s, %d/%d in flight: %s\n", c.Target, c.InFlight, c.Slots, c.Remark)
	}
}

func candidateText(c pool.Candidate) string {
	text := fmt.Sprintf("%s, cost %.2f (%s), %d/%d in flight", c.Target, c.Cost, c.Reason, c.InFlight, c.Slots)
	if c.Remark != "" {
		text += ", " + c.Remark
	}
	return text
}
