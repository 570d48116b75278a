package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
)

const (
	// defaultSince is how far back the timeline begins without --since.
	defaultSince = "1h"
	// maxEventBytes limits the length of one event of a stream.
	maxEventBytes = 1 << 20
)

func timelineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "only events of `SERVICE`"},
		&cli.StringFlag{Name: "target", Usage: "only events of `TARGET`, or of the host of that name"},
		&cli.StringFlag{Name: "request", Usage: "only events of the request with `ID`"},
		&cli.StringFlag{Name: "since", Usage: "only events since `TIME`: RFC 3339, or a time ago such as 90m", Value: defaultSince},
		&cli.StringFlag{Name: "until", Usage: "only events until `TIME`: RFC 3339, or a time ago"},
		&cli.BoolFlag{Name: "follow", Usage: "continue with new events as they happen"},
	}
}

// parseTime parses a time in RFC 3339, or a duration that is subtracted from
// now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if age, err := time.ParseDuration(text); err == nil {
		return now.Add(-age), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, usageError(text + " is no time; write it as 2027-01-31T08:00:00Z, or as a time ago such as 90m")
	}
	return t, nil
}

// timelineFilter returns the filter that the flags of the command select.
func timelineFilter(cmd *cli.Command, now time.Time) (timeline.Filter, error) {
	filter := timeline.Filter{Service: cmd.String("service"), Target: cmd.String("target"), Request: cmd.String("request")}
	var err error
	if filter.Since, err = parseTime(cmd.String("since"), now); err != nil {
		return filter, err
	}
	if until := cmd.String("until"); until != "" {
		filter.Until, err = parseTime(until, now)
	}
	return filter, err
}

func printTimeline(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	filter, err := timelineFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	if cmd.Bool("follow") {
		return followTimeline(ctx, cmd, c, filter)
	}
	result, err := c.fetchTimeline(ctx, filter)
	if err != nil {
		return err
	}
	return printOutput(cmd, result, func() {
		for _, e := range result.Events {
			fmt.Fprintln(cmd.Root().Writer, timeline.FormatEvent(e))
		}
		printIncomplete(cmd.Root().ErrWriter, result)
	})
}

// fetchTimeline requests the events that a filter selects.
func (c *client) fetchTimeline(ctx context.Context, filter timeline.Filter) (wire.Timeline, error) {
	var result wire.Timeline
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/timeline", query: queryParameters(filter)}, &result)
	return result, err
}

// queryParameters encodes a filter as query parameters of the API.
func queryParameters(filter timeline.Filter) url.Values {
	query := url.Values{}
	for name, value := range map[string]string{"service": filter.Service, "target": filter.Target, "request": filter.Request} {
		if value != "" {
			query.Set(name, value)
		}
	}
	for name, t := range map[string]time.Time{"since": filter.Since, "until": filter.Until} {
		if !t.IsZero() {
			query.Set(name, strconv.FormatInt(t.UnixMilli(), 10))
		}
	}
	return query
}

// printIncomplete prints why a timeline may be incomplete.
func printIncomplete(out io.Writer, result wire.Timeline) {
	for _, missing := range result.Missing {
		fmt.Fprintf(out, "incomplete: %s did not respond: %s\n", missing.Source, missing.Error)
	}
	if result.Truncated {
		fmt.Fprintln(out, "incomplete: too many events; choose a filter or a shorter time by --since and --until")
	}
}

// followTimeline prints events as they happen, until the tool is interrupted
// or the host ends the stream.
func followTimeline(ctx context.Context, cmd *cli.Command, c *client, filter timeline.Filter) error {
	query := queryParameters(filter)
	query.Set("follow", "1")
	c.http.Timeout = 0
	resp, err := c.send(ctx, apiRequest{method: http.MethodGet, path: "/v1/timeline", query: query})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return responseError(resp, data)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		if cmd.String("output") == outputJSON {
			fmt.Fprintln(cmd.Root().Writer, scanner.Text())
			continue
		}
		var e timeline.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return errors.Wrap(err, "decode event")
		}
		fmt.Fprintln(cmd.Root().Writer, timeline.FormatEvent(e))
	}
	if err := scanner.Err(); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "read the event stream")
	}
	return nil
}

// explanation is the output of the command explain.
type explanation struct {
	Request   string           `json:"request"`
	Sentences []string         `json:"sentences"`
	Events    []timeline.Event `json:"events"`
}

// explain prints what happened to one request. It reads the events of the
// request, of its home host, and of the targets that the request was sent to.
func explain(ctx context.Context, cmd *cli.Command) error {
	request, err := argument(cmd, "the id of a request")
	if err != nil {
		return err
	}
	id, err := caller.ParseRequestID(request)
	if err != nil {
		return exitError{code: exitUsage, err: err}
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	since, err := parseTime(cmd.String("since"), time.Now())
	if err != nil {
		return err
	}
	home := timeline.HomeHost{Host: id.Host, Incarnation: id.Incarnation}
	result, err := c.fetchTimeline(ctx, timeline.Filter{Request: request, Since: since})
	if err != nil {
		return err
	}
	requestEvents := result.Events
	for _, filter := range timeline.RelatedFilters(home, requestEvents) {
		filter.Since = since
		related, err := c.fetchTimeline(ctx, filter)
		if err != nil {
			return err
		}
		result.Events = timeline.Merge(result.Events, related.Events)
		result.Truncated = result.Truncated || related.Truncated
	}
	outcomes, outcomesErr := c.storedOutcomes(ctx, request)
	explained := explanation{Request: request, Sentences: timeline.Explain(request, home, result.Events, outcomes), Events: requestEvents}
	return printOutput(cmd, explained, func() {
		for _, sentence := range explained.Sentences {
			fmt.Fprintln(cmd.Root().Writer, sentence)
		}
		printIncomplete(cmd.Root().ErrWriter, result)
		if outcomesErr != nil {
			fmt.Fprintf(cmd.Root().ErrWriter, "incomplete: the outcome in the table was not read: %v\n", outcomesErr)
		}
	})
}

// storedOutcomes reads the outcomes that the table keeps for a request.
func (c *client) storedOutcomes(ctx context.Context, request string) ([]timeline.StoredOutcome, error) {
	var response wire.Outcomes
	err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/outcomes/" + url.PathEscape(request)}, &response)
	var outcomes []timeline.StoredOutcome
	for _, outcome := range response.Outcomes {
		outcomes = append(outcomes, timeline.StoredOutcome{Account: outcome.Account, Result: outcome.Result})
	}
	return outcomes, err
}
