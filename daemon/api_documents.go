package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/wire"
)

const (
	// maxDocumentBytes limits the body of a published document.
	maxDocumentBytes = 1 << 20
	// proposeTimeout limits a write requested by an operator, including its retries.
	proposeTimeout = 10 * time.Second
	// maxHistoryPage is the maximum number of changes in a page of the history.
	maxHistoryPage = 500
)

// getDocuments lists the documents in force. Their text is included only with
// the query parameter text=1.
func (d *Daemon) getDocuments(ctx iris.Context) {
	view, err := d.inForce(ctx.Request().Context())
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	out := wire.Documents{Revision: view.Revision, KnownAccounts: d.store.KnownAccounts, Documents: []wire.Document{}}
	for _, change := range view.Changes {
		doc := wire.NewDocument(change)
		doc.Kept = view.Kept[change.Subject]
		if ctx.URLParam("text") != "1" {
			doc.Text = ""
		}
		out.Documents = append(out.Documents, doc)
	}
	respondJSON(ctx, out)
}

func (d *Daemon) getDocument(ctx iris.Context) {
	subject := ctx.Params().Get("subject")
	view, err := d.inForce(ctx.Request().Context())
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	change, ok := view.Change(subject)
	if !ok {
		respondError(ctx, http.StatusNotFound, errors.Errorf("no document of %s is in force", subject))
		return
	}
	respondJSON(ctx, wire.NewDocument(change))
}

func (d *Daemon) putDocument(ctx iris.Context) {
	document, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocumentBytes))
	switch {
	case err != nil:
		respondError(ctx, http.StatusRequestEntityTooLarge, err)
	case len(document) == 0:
		respondError(ctx, http.StatusBadRequest, errors.New("the document is empty; remove it by DELETE"))
	default:
		d.propose(ctx, document)
	}
}

func (d *Daemon) deleteDocument(ctx iris.Context) { d.propose(ctx, nil) }

// writeContext returns the context of a write requested by an operator. It has a
// timeout but is not canceled when the operator disconnects, so that the write
// isn't interrupted half-way.
func writeContext(ctx iris.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), proposeTimeout)
}

func (d *Daemon) propose(ctx iris.Context, document []byte) {
	base, err := strconv.ParseUint(ctx.URLParam("base"), 10, 64)
	if err != nil {
		respondError(ctx, http.StatusBadRequest, errors.Wrap(err, "parameter base"))
		return
	}
	writeCtx, cancel := writeContext(ctx)
	defer cancel()
	result, err := d.Propose(writeCtx, publish.Proposal{
		ID:       ctx.URLParam("proposal"),
		Operator: operatorName(ctx),
		Subject:  ctx.Params().Get("subject"),
		Document: document,
		Base:     base,
	})
	switch {
	case errors.Is(err, publish.ErrIncompleteProposal), errors.Is(err, storage.ErrInvalid):
		respondError(ctx, http.StatusBadRequest, err)
	case err != nil:
		respondError(ctx, http.StatusServiceUnavailable, errors.Wrap(err, "nothing was written"))
	default:
		respondJSON(ctx, result)
	}
}

func (d *Daemon) getProposal(ctx iris.Context) {
	result, err := d.store.Resolve(ctx.Request().Context(), ctx.Params().Get("id"))
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	respondJSON(ctx, result)
}

func (d *Daemon) postSettle(ctx iris.Context) {
	writeCtx, cancel := writeContext(ctx)
	defer cancel()
	result, err := d.store.Settle(writeCtx, ctx.Params().Get("id"), operatorName(ctx))
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	respondJSON(ctx, result)
}

func (d *Daemon) getHistory(ctx iris.Context) {
	limit := min(max(ctx.URLParamIntDefault("limit", maxHistoryPage), 1), maxHistoryPage)
	after := uint64(max(ctx.URLParamInt64Default("after", 0), 0))
	changes, next, err := d.store.History(ctx.Request().Context(), ctx.Params().Get("subject"), after, limit)
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	out := wire.History{Changes: []wire.Document{}, Next: next}
	for _, change := range changes {
		doc := wire.NewDocument(change.Change)
		doc.Removed = change.Removed
		out.Changes = append(out.Changes, doc)
	}
	respondJSON(ctx, out)
}

func (d *Daemon) getChange(ctx iris.Context) {
	revision := ctx.Params().GetUint64Default("revision", 0)
	change, err := d.store.Change(ctx.Request().Context(), revision)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		respondError(ctx, http.StatusNotFound, errors.Errorf("no change has revision %d", revision))
	case err != nil:
		respondError(ctx, http.StatusServiceUnavailable, err)
	default:
		respondJSON(ctx, wire.NewDocument(change))
	}
}
