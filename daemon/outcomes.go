package daemon

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/wire"
)

// getOutcomes tells how the requests of an id ended, as the table keeps it: also
// of a host that was lost before it archived its events.
func (d *Daemon) getOutcomes(ctx iris.Context) {
	id, err := caller.ParseRequestID(ctx.Params().Get("id"))
	if err != nil {
		fail(ctx, http.StatusBadRequest, err)
		return
	}
	out, err := d.Outcomes(ctx.Request().Context(), id)
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply(ctx, out)
}

// Outcomes reads how the requests of an id ended from the table.
func (d *Daemon) Outcomes(ctx context.Context, id caller.RequestID) (wire.Outcomes, error) {
	ended, err := d.claims.Log.FindAll(ctx, id)
	out := wire.Outcomes{Outcomes: []wire.Outcome{}}
	for _, e := range ended {
		out.Outcomes = append(out.Outcomes, wire.Outcome{Account: e.Account, Result: e.Result.String(), Status: e.Status})
	}
	return out, err
}
