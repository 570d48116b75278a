package daemon

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric"
)

// requestCounters returns the counters that concern callers' requests.
func (d *Daemon) requestCounters() []instrument {
	c := d.handler.Counters()
	return []instrument{
		{"crocushinge.requests.completed", "Answers with the result completed.", c.Completed.Load},
		{"crocushinge.requests.not_run", "Answers with the result not-run.", c.NotRun.Load},
		{"crocushinge.requests.unknown", "Answers with the result unknown.", c.Unknown.Load},
		{"crocushinge.requests.pending", "Answers with the result pending.", c.Pending.Load},
		{"crocushinge.requests.cut", "Answers aborted because the target's answer was not whole.", c.Aborted.Load},
		{"crocushinge.requests.retries", "Attempts beyond the first of a request.", c.Retries.Load},
		{"crocushinge.requests.forwarded", "Requests passed on to the home host of their id.", c.Forwarded.Load},
		{"crocushinge.notices.unreadable", "Responses in which a target stated a rate limit or a Retry-After that cannot be read.", c.UnreadableNotices.Load},
		{"crocushinge.requests.denied", "Requests with missing or wrong credentials, or of an account that may not use the service.", c.Denied.Load},
		{"crocushinge.requests.unrecorded", "Ends of requests that are not on the time line, because there were too many or the control thread was behind.", d.control.unrecordedRequests.Load},
		{"crocushinge.outcomes.dropped", "Outcomes of ids given up because too many waited for the table.", d.claims.Log.Dropped},
		{"crocushinge.claims.dropped", "Outcomes of callers' keys given up because too many waited for the table.", d.claims.Writer.Dropped.Load},
		{"crocushinge.claims.refused", "Outcomes of callers' keys that the table refused for good.", d.claims.Writer.Rejected.Load},
	}
}

// requestGauges returns the gauges that concern callers' requests.
func (d *Daemon) requestGauges() []instrument {
	return []instrument{
		{"crocushinge.requests.waiting", "Requests that wait for a slot.", d.handler.Waiting},
		{"crocushinge.ledger.records", "Records of non-idempotent requests.", func() int64 { return int64(d.ledger.Len()) }},
		{"crocushinge.ledger.answer_bytes", "Bytes of answers kept for repeats.", d.ledger.ResponseBytes},
		{"crocushinge.bodies.bytes", "Bytes of request bodies held in memory.", d.bodyBudget.Used},
		{"crocushinge.claims.waiting", "Outcomes of callers' keys that wait for the table.", func() int64 { return int64(d.claims.Writer.Pending()) }},
	}
}

// requestDurationBuckets are the upper bounds of the histogram buckets, in seconds.
var requestDurationBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

func newRequestDurations(meter metric.Meter) (metric.Float64Histogram, error) {
	h, err := meter.Float64Histogram("crocushinge.requests.duration",
		metric.WithDescription("Time from a caller's request header to the end of its answer, the target's time included."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(requestDurationBuckets...))
	return h, errors.Wrap(err, "register metric crocushinge.requests.duration")
}

// measureDuration records the duration of each request, including aborted ones.
func (d *Daemon) measureDuration(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		defer func() { d.metrics.requestDurations.Record(r.Context(), time.Since(start).Seconds()) }()
		next.ServeHTTP(w, r)
	})
}
