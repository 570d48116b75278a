package daemon

import (
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
)

// maxDocument limits a published contract, in bytes.
const maxDocument = 1 << 20

// api builds the HTTP handler for callers' directory questions and operators.
func (d *Daemon) api() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/directory/{service}", d.getDirectory)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})))
	operator := app.Party("/v1", d.requireOperator)
	operator.Get("/status", d.getStatus)
	operator.Get("/contracts/{service}", d.getContract)
	operator.Put("/contracts/{service}", d.putContract)
	operator.Get("/proposals/{id}", d.getProposal)
	operator.Post("/drain/{service}/{target}", d.postDrain)
	operator.Get("/timeline", d.getTimeline)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build API")
	}
	return app, nil
}

func (d *Daemon) requireOperator(ctx iris.Context) {
	want := []byte("Bearer " + d.settings.OperatorToken)
	if subtle.ConstantTimeCompare([]byte(ctx.GetHeader(authorizationHeader)), want) != 1 {
		fail(ctx, http.StatusUnauthorized, errors.New("missing or wrong operator token"))
		return
	}
	ctx.Next()
}

func fail(ctx iris.Context, status int, err error) {
	_ = ctx.StopWithJSON(status, wire.Failure{Error: err.Error()})
}

func reply(ctx iris.Context, v any) { _ = ctx.JSON(v) }

func (d *Daemon) getStatus(ctx iris.Context) {
	snap := d.control.snapshot.Load()
	status := wire.Status{
		Host:        string(snap.Self.ID),
		Incarnation: snap.Self.Incarnation,
		Revision:    snap.Revision,
		Ready:       snap.Ready,
	}
	for _, id := range snap.Directory {
		status.Hosts = append(status.Hosts, string(id.ID))
	}
	reply(ctx, status)
}

func (d *Daemon) getContract(ctx iris.Context) {
	name := ctx.Params().Get("service")
	var found *wire.Contract
	err := d.control.call(ctx.Request().Context(), func(core *host.Core) {
		for _, ch := range core.Changes(0) {
			if ch.Service == name && ch.Contract != nil {
				found = wire.NewContract(ch)
			}
		}
	})
	switch {
	case err != nil:
		fail(ctx, http.StatusServiceUnavailable, err)
	case found == nil:
		fail(ctx, http.StatusNotFound, errors.Errorf("no contract of service %s is in force", name))
	default:
		reply(ctx, found)
	}
}

func (d *Daemon) putContract(ctx iris.Context) {
	document, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxDocument))
	if err != nil {
		fail(ctx, http.StatusRequestEntityTooLarge, err)
		return
	}
	base, err := strconv.ParseUint(ctx.URLParam("base"), 10, 64)
	if err != nil {
		fail(ctx, http.StatusBadRequest, errors.Wrap(err, "parameter base"))
		return
	}
	result, err := d.store.Propose(ctx.Request().Context(), publish.Proposal{
		ID:       ctx.URLParam("proposal"),
		Operator: ctx.URLParam("operator"),
		Service:  ctx.Params().Get("service"),
		Document: document,
		Base:     base,
	})
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply(ctx, result)
	if result.Status == publish.Accepted {
		d.readConfiguration(host.ReadConfiguration{After: d.control.snapshot.Load().Revision})
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

func (d *Daemon) postDrain(ctx iris.Context) {
	d.control.send(ctx.Request().Context(), host.OperatorDrain{Target: target.Key{
		Service: ctx.Params().Get("service"), Name: ctx.Params().Get("target"),
	}})
	ctx.StatusCode(http.StatusAccepted)
}

func (d *Daemon) getTimeline(ctx iris.Context) {
	events, _ := d.ring.After(timeline.Stamp{})
	if events == nil {
		events = []timeline.Event{}
	}
	reply(ctx, events)
}
