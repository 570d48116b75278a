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

// getTimeline answers with the merged time line, or streams it as JSON lines
// with the parameter follow=1.
func (d *Daemon) getTimeline(ctx iris.Context) {
	f, err := timelineFilter(ctx)
	if err != nil {
		fail(ctx, http.StatusBadRequest, err)
		return
	}
	if ctx.URLParam("follow") == "1" {
		d.streamTimeline(ctx, f)
		return
	}
	reply(ctx, d.gather(ctx.Request().Context(), f))
}

// timelineFilter reads the parameters service, target, request, and since and
// until in Unix milliseconds.
func timelineFilter(ctx iris.Context) (timeline.Filter, error) {
	f := timeline.Filter{
		Service: ctx.URLParam("service"), Target: ctx.URLParam("target"), Request: ctx.URLParam("request"),
	}
	var err error
	if f.Since, err = wallParam(ctx, "since"); err != nil {
		return f, err
	}
	f.Until, err = wallParam(ctx, "until")
	return f, err
}

func wallParam(ctx iris.Context, name string) (time.Time, error) {
	text := ctx.URLParam(name)
	if text == "" {
		return time.Time{}, nil
	}
	wall, err := strconv.ParseInt(text, 10, 64)
	return time.UnixMilli(wall), errors.Wrapf(err, "parameter %s", name)
}

// streamTimeline writes events as they happen, one JSON document a line.
func (d *Daemon) streamTimeline(ctx iris.Context, f timeline.Filter) {
	w := ctx.ResponseWriter()
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	err := d.follow(ctx.Request().Context(), f, func(events []timeline.Event) error {
		for _, e := range events {
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		w.Flush()
		return nil
	})
	if err != nil {
		d.log.Debug().Err(err).Msg("reader of the time line gone")
	}
}
