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
	// defaultSince is how far back the time line begins.
	defaultSince = "1h"
	// maxEventLine limits one event of a stream, in bytes.
	maxEventLine = 1 << 20
)

func timelineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Usage: "only events of `SERVICE`"},
		&cli.StringFlag{Name: "target", Usage: "only events of `TARGET`, or of the host of that name"},
		&cli.StringFlag{Name: "request", Usage: "only events of the request with `ID`"},
		&cli.StringFlag{Name: "since", Usage: "only events since `TIME`: RFC 3339, or a time ago such as 90m", Value: defaultSince},
		&cli.StringFlag{Name: "until", Usage: "only events until `TIME`: RFC 3339, or a time ago"},
		&cli.BoolFlag{Name: "follow", Usage: "go on with events as they happen"},
	}
}

// moment reads a time of RFC 3339, or a time ago.
func moment(text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, usageError(text + " is no time; write it as 2027-01-31T08:00:00Z, or as a time ago such as 90m")
	}
	return t, nil
}

// timelineFilter reads the flags.
func timelineFilter(cmd *cli.Command, now time.Time) (timeline.Filter, error) {
	f := timeline.Filter{Service: cmd.String("service"), Target: cmd.String("target"), Request: cmd.String("request")}
	var err error
	if f.Since, err = moment(cmd.String("since"), now); err != nil {
		return f, err
	}
	if until := cmd.String("until"); until != "" {
		f.Until, err = moment(until, now)
	}
	return f, err
}

func printTimeline(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	f, err := timelineFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	if cmd.Bool("follow") {
		return followTimeline(ctx, cmd, c, f)
	}
	line, err := c.gather(ctx, f)
	if err != nil {
		return err
	}
	return show(cmd, line, func() {
		for _, e := range line.Events {
			fmt.Fprintln(cmd.Root().Writer, timeline.FormatEvent(e))
		}
		printMissing(cmd.Root().ErrWriter, line)
	})
}

// gather asks for the events that a filter selects.
func (c *client) gather(ctx context.Context, f timeline.Filter) (wire.Timeline, error) {
	var line wire.Timeline
	err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/timeline", query: parameters(f)}, &line)
	return line, err
}

// parameters turns a filter into parameters of the API.
func parameters(f timeline.Filter) url.Values {
	q := url.Values{}
	for name, value := range map[string]string{"service": f.Service, "target": f.Target, "request": f.Request} {
		if value != "" {
			q.Set(name, value)
		}
	}
	for name, t := range map[string]time.Time{"since": f.Since, "until": f.Until} {
		if !t.IsZero() {
			q.Set(name, strconv.FormatInt(t.UnixMilli(), 10))
		}
	}
	return q
}

// printMissing says what the time line lacks.
func printMissing(out io.Writer, line wire.Timeline) {
	for _, m := range line.Missing {
		fmt.Fprintf(out, "incomplete: %s did not answer: %s\n", m.Source, m.Error)
	}
	if line.Truncated {
		fmt.Fprintln(out, "incomplete: too many events; choose a filter or a shorter time by --since and --until")
	}
}

// followTimeline prints events as they happen, until the tool is interrupted
// or the host ends the stream.
func followTimeline(ctx context.Context, cmd *cli.Command, c *client, f timeline.Filter) error {
	query := parameters(f)
	query.Set("follow", "1")
	c.http.Timeout = 0
	resp, err := c.send(ctx, question{method: http.MethodGet, path: "/v1/timeline", query: query})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return failure(resp, data)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		if cmd.String("output") == outputJSON {
			fmt.Fprintln(cmd.Root().Writer, lines.Text())
			continue
		}
		var e timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return errors.Wrap(err, "decode event")
		}
		fmt.Fprintln(cmd.Root().Writer, timeline.FormatEvent(e))
	}
	if err := lines.Err(); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "the stream of events broke")
	}
	return nil
}

// explanation is the result of the command explain.
type explanation struct {
	Request   string           `json:"request"`
	Sentences []string         `json:"sentences"`
	Events    []timeline.Event `json:"events"`
}

// explain tells what happened to one request.
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
	since, err := moment(cmd.String("since"), time.Now())
	if err != nil {
		return err
	}
	home := timeline.HomeHost{Host: id.Host, Incarnation: id.Incarnation}
	line, err := c.gather(ctx, timeline.Filter{Request: request, Since: since})
	if err != nil {
		return err
	}
	own := line.Events
	for _, f := range timeline.RelatedFilters(home, own) {
		f.Since = since
		more, err := c.gather(ctx, f)
		if err != nil {
			return err
		}
		line.Events = timeline.Merge(line.Events, more.Events)
		line.Truncated = line.Truncated || more.Truncated
	}
	kept, keptErr := c.outcomes(ctx, request)
	e := explanation{Request: request, Sentences: timeline.Explain(request, home, line.Events, kept), Events: own}
	return show(cmd, e, func() {
		for _, s := range e.Sentences {
			fmt.Fprintln(cmd.Root().Writer, s)
		}
		printMissing(cmd.Root().ErrWriter, line)
		if keptErr != nil {
			fmt.Fprintf(cmd.Root().ErrWriter, "incomplete: the outcome in the table was not read: %v\n", keptErr)
		}
	})
}

// outcomes asks for the outcomes that the table keeps of a request.
func (c *client) outcomes(ctx context.Context, request string) ([]timeline.StoredOutcome, error) {
	var answer wire.Outcomes
	err := c.ask(ctx, question{method: http.MethodGet, path: "/v1/outcomes/" + url.PathEscape(request)}, &answer)
	var kept []timeline.StoredOutcome
	for _, o := range answer.Outcomes {
		kept = append(kept, timeline.StoredOutcome{Account: o.Account, Result: o.Result})
	}
	return kept, err
}
