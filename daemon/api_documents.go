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
	// maxDocument limits the body of a published document, in bytes.
	maxDocument = 1 << 20
	// proposeTimeout limits the acceptance of a proposal with all its retries.
	proposeTimeout = 10 * time.Second
	// maxHistoryPage is how many changes one page of the history holds.
	maxHistoryPage = 500
)

// getDocuments lists what is in force; with the parameter text=1 it adds the
// documents themselves.
func (d *Daemon) getDocuments(ctx iris.Context) {
	view, err := d.inForce(ctx.Request().Context())
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	out := wire.Documents{Revision: view.Revision, KnownAccounts: d.store.KnownAccounts, Documents: []wire.Document{}}
	for _, ch := range view.Changes {
		doc := wire.NewDocument(ch)
		if ctx.URLParam("text") != "1" {
			doc.Text = ""
		}
		out.Documents = append(out.Documents, doc)
	}
	reply(ctx, out)
}

func (d *Daemon) getDocument(ctx iris.Context) {
	subject := ctx.Params().Get("subject")
	view, err := d.inForce(ctx.Request().Context())
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ch, ok := view.Change(subject)
	if !ok {
		fail(ctx, http.StatusNotFound, errors.Errorf("no document of %s is in force", subject))
		return
	}
	reply(ctx, wire.NewDocument(ch))
}

func (d *Daemon) putDocument(ctx iris.Context) {
	document, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocument))
	switch {
	case err != nil:
		fail(ctx, http.StatusRequestEntityTooLarge, err)
	case len(document) == 0:
		fail(ctx, http.StatusBadRequest, errors.New("the document is empty; remove it by DELETE"))
	default:
		d.propose(ctx, document)
	}
}

func (d *Daemon) deleteDocument(ctx iris.Context) { d.propose(ctx, nil) }

// changeContext bounds a change that an operator asked for. It goes on when the
// operator's connection breaks, so that the write is not cut off half-way.
func changeContext(ctx iris.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), proposeTimeout)
}

func (d *Daemon) propose(ctx iris.Context, document []byte) {
	base, err := strconv.ParseUint(ctx.URLParam("base"), 10, 64)
	if err != nil {
		fail(ctx, http.StatusBadRequest, errors.Wrap(err, "parameter base"))
		return
	}
	bound, cancel := changeContext(ctx)
	defer cancel()
	result, err := d.Propose(bound, publish.Proposal{
		ID:       ctx.URLParam("proposal"),
		Operator: operatorOf(ctx),
		Subject:  ctx.Params().Get("subject"),
		Document: document,
		Base:     base,
	})
	switch {
	case errors.Is(err, publish.ErrIncompleteProposal), errors.Is(err, storage.ErrInvalid):
		fail(ctx, http.StatusBadRequest, err)
	case err != nil:
		fail(ctx, http.StatusServiceUnavailable, errors.Wrap(err, "nothing was written"))
	default:
		reply(ctx, result)
	}
}

func (d *Daemon) getProposal(ctx iris.Context) {
	result, err := d.store.Resolve(ctx.Request().Context(), ctx.Params().Get("id"))
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply(ctx, result)
}

func (d *Daemon) postSettle(ctx iris.Context) {
	bound, cancel := changeContext(ctx)
	defer cancel()
	result, err := d.store.Settle(bound, ctx.Params().Get("id"), operatorOf(ctx))
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply(ctx, result)
}

func (d *Daemon) getHistory(ctx iris.Context) {
	limit := min(max(ctx.URLParamIntDefault("limit", maxHistoryPage), 1), maxHistoryPage)
	after := uint64(max(ctx.URLParamInt64Default("after", 0), 0))
	changes, next, err := d.store.History(ctx.Request().Context(), ctx.Params().Get("subject"), after, limit)
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	out := wire.History{Changes: []wire.Document{}, Next: next}
	for _, ch := range changes {
		doc := wire.NewDocument(ch.Change)
		doc.Removed = ch.Removed
		out.Changes = append(out.Changes, doc)
	}
	reply(ctx, out)
}

func (d *Daemon) getChange(ctx iris.Context) {
	revision := ctx.Params().GetUint64Default("revision", 0)
	ch, err := d.store.Change(ctx.Request().Context(), revision)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		fail(ctx, http.StatusNotFound, errors.Errorf("no change has revision %d", revision))
	case err != nil:
		fail(ctx, http.StatusServiceUnavailable, err)
	default:
		reply(ctx, wire.NewDocument(ch))
	}
}
