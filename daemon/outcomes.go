package daemon

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/wire"
)

// getOutcomes responds with the outcomes of the requests with an id. It reads them
// from the metadata store rather than from the timeline, because a host may be lost
// before it writes its timeline events to the object store.
func (d *Daemon) getOutcomes(ctx iris.Context) {
	id, err := caller.ParseRequestID(ctx.Params().Get("id"))
	if err != nil {
		respondError(ctx, http.StatusBadRequest, err)
		return
	}
	out, err := d.Outcomes(ctx.Request().Context(), id)
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	respondJSON(ctx, out)
}

// Outcomes reads the outcomes of the requests with an id from the metadata store.
func (d *Daemon) Outcomes(ctx context.Context, id caller.RequestID) (wire.Outcomes, error) {
	records, err := d.claims.Log.FindAll(ctx, id)
	out := wire.Outcomes{Outcomes: []wire.Outcome{}}
	for _, r := range records {
		out.Outcomes = append(out.Outcomes, wire.Outcome{Account: r.Account, Result: r.Result.String(), Status: r.Status})
	}
	return out, err
}
