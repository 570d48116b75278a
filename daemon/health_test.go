package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/target"
)

// scrapeMetrics returns the metrics of a daemon in the Prometheus text format.
func scrapeMetrics(t *testing.T, d *Daemon) string {
	t.Helper()
	resp, err := http.Get("http://" + d.Self().APIAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// hasSample reports whether the metrics contain a sample with the given name, value
// and labels. The sample may have further labels, such as those of the
// instrumentation scope.
func hasSample(metrics, name, value string, labels ...string) bool {
	for line := range strings.Lines(metrics) {
		if !strings.HasPrefix(line, name+"{") || !strings.HasSuffix(line, "} "+value+"\n") {
			continue
		}
		hasAll := true
		for _, label := range labels {
			hasAll = hasAll && strings.Contains(line, label)
		}
		if hasAll {
			return true
		}
	}
	return false
}

func twoTargetContract(first, second string) []byte {
	return fmt.Appendf(nil, `
service: catalogue
targets:
  - {name: one, address: "%s", zone: lima-a, slots: 4}
  - {name: two, address: "%s", zone: lima-a, slots: 4}
routes: [{path: /catalogue, idempotent: true, deadline: 2s}]
floor: 50%%
accounts: [bookshop]
`, first, second)
}

func TestHealthOfTargetsIsMeasured(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for range 2 {
		backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer backend.Close()
		addresses = append(addresses, strings.TrimPrefix(backend.URL, "http://"))
	}
	d := startDaemon(t, testSettings("one"), memory.New())
	result, err := d.store.Propose(context.Background(), publish.Proposal{
		ID: "p1", Operator: "ana", Subject: "catalogue", Document: twoTargetContract(addresses[0], addresses[1]),
	})
	is.NoErr(err)
	is.Equal(result.Status, publish.Accepted)
	eventually(t, "the configuration in force", func() bool { return d.Snapshot().Revision == 1 })
	is.True(hasSample(scrapeMetrics(t, d), "crocushinge_healthy_slots", "8", `service="catalogue"`))

	for range 50 {
		d.control.Observe(link.Observation{
			Target: target.Key{Service: "catalogue", Name: "one"}, Outcome: link.Failed, Latency: time.Millisecond, At: time.Now()})
	}
	eventually(t, "the metrics show the ejection", func() bool {
		metrics := scrapeMetrics(t, d)
		return hasSample(metrics, "crocushinge_targets", "1", `service="catalogue"`, `state="ejected"`) &&
			hasSample(metrics, "crocushinge_targets", "1", `service="catalogue"`, `state="active"`) &&
			hasSample(metrics, "crocushinge_healthy_slots", "4", `service="catalogue"`) &&
			hasSample(metrics, "crocushinge_floor_slots", "4", `service="catalogue"`) &&
			hasSample(metrics, "crocushinge_events_total", "1", `kind="target-state-changed"`, `to="ejected"`)
	})
	var degraded []string
	is.NoErr(d.control.Call(context.Background(), func(core *host.Core) {
		for _, s := range serviceStatus(core.Snapshot(), core.Health()) {
			for _, t := range s.Degraded {
				degraded = append(degraded, t.Target+" "+t.State)
			}
		}
	}))
	is.Equal(degraded, []string{"one ejected"})
}

// metricsPage documents the metrics for operators.
const metricsPage = "../docs/operate/metrics.md"

func TestMetricsPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(metricsPage)
	is.NoErr(err)
	d := startDaemon(t, testSettings("one"), memory.New())
	families, err := d.metrics.registry.Gather()
	is.NoErr(err)
	is.True(len(families) > 0)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "crocushinge_") && !strings.Contains(string(page), "`"+f.GetName()+"`") {
			t.Errorf("%s is not documented in %s", f.GetName(), metricsPage)
		}
	}
}

func TestDurationsOfRequestsAreMeasured(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	_, _, _ = sendRequest(t, d.Self().Address, "no such key")
	is.True(hasSample(scrapeMetrics(t, d), "crocushinge_requests_duration_seconds_count", "1"))
}
