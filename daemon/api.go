package daemon

import (
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/wire"
)

// api builds the HTTP handler for directory lookups by callers, for metrics and
// for requests by operators.
func (d *Daemon) api() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/directory/{service}", d.getDirectory)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{})))
	operator := app.Party("/v1", d.requireOperator)
	operator.Get("/status", d.getStatus)
	operator.Get("/documents", d.getDocuments)
	operator.Get("/documents/{subject:path}", d.getDocument)
	operator.Put("/documents/{subject:path}", d.putDocument)
	operator.Delete("/documents/{subject:path}", d.deleteDocument)
	operator.Get("/history/{subject:path}", d.getHistory)
	operator.Get("/changes/{revision:uint64}", d.getChange)
	operator.Get("/proposals/{id}", d.getProposal)
	operator.Post("/proposals/{id}/settle", d.postSettle)
	operator.Post("/drain/{service}/{target}", d.postDrain)
	operator.Delete("/drain/{service}/{target}", d.deleteDrain)
	operator.Get("/drains", d.getDrains)
	operator.Get("/timeline", d.getTimeline)
	operator.Get("/outcomes/{id}", d.getOutcomes)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build API")
	}
	return app, nil
}

func respondError(ctx iris.Context, status int, err error) {
	_ = ctx.StopWithJSON(status, wire.ErrorResponse{Error: err.Error()})
}

func respondJSON(ctx iris.Context, v any) { _ = ctx.JSON(v) }

// hasTarget reports whether a contract in force declares the target.
func (d *Daemon) hasTarget(key target.Key) bool {
	routing := d.control.snapshot.Load().Services[key.Service]
	if routing == nil {
		return false
	}
	for _, t := range routing.Contract.Targets {
		if t.Name == key.Name {
			return true
		}
	}
	return false
}
