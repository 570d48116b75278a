package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/timeline"
)

// getTimeline responds with the merged timeline. With the query parameter
// follow=1 it streams events as JSON lines instead.
func (d *Daemon) getTimeline(ctx iris.Context) {
	filter, err := timelineFilter(ctx)
	if err != nil {
		respondError(ctx, http.StatusBadRequest, err)
		return
	}
	if ctx.URLParam("follow") == "1" {
		d.streamTimeline(ctx, filter)
		return
	}
	respondJSON(ctx, d.gatherTimeline(ctx.Request().Context(), filter))
}

// timelineFilter reads the query parameters service, target, request, since and
// until. The times since and until are in Unix milliseconds.
func timelineFilter(ctx iris.Context) (timeline.Filter, error) {
	filter := timeline.Filter{
		Service: ctx.URLParam("service"), Target: ctx.URLParam("target"), Request: ctx.URLParam("request"),
	}
	var err error
	if filter.Since, err = timeParam(ctx, "since"); err != nil {
		return filter, err
	}
	filter.Until, err = timeParam(ctx, "until")
	return filter, err
}

// timeParam reads a query parameter in Unix milliseconds. It returns the zero
// time when the parameter is missing.
func timeParam(ctx iris.Context, name string) (time.Time, error) {
	text := ctx.URLParam(name)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	return time.UnixMilli(millis), errors.Wrapf(err, "parameter %s", name)
}

// streamTimeline writes events as they happen, one JSON document per line.
func (d *Daemon) streamTimeline(ctx iris.Context, filter timeline.Filter) {
	w := ctx.ResponseWriter()
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	err := d.followTimeline(ctx.Request().Context(), filter, func(events []timeline.Event) error {
		for _, e := range events {
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		w.Flush()
		return nil
	})
	if err != nil {
		d.log.Debug().Err(err).Msg("failed to write timeline events to the client")
	}
}
