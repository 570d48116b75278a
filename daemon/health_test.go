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

// scrape reads a daemon's metrics.
func scrape(t *testing.T, d *Daemon) string {
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

// hasSample reports whether metrics hold a sample of a name with labels and a
// value. The labels of the instrumentation scope are passed over.
func hasSample(metrics, name, value string, labels ...string) bool {
	for line := range strings.Lines(metrics) {
		if !strings.HasPrefix(line, name+"{") || !strings.HasSuffix(line, "} "+value+"\n") {
			continue
		}
		all := true
		for _, label := range labels {
			all = all && strings.Contains(line, label)
		}
		if all {
			return true
		}
	}
	return false
}

func twoTargets(first, second string) []byte {
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
	r, err := d.store.Propose(context.Background(), publish.Proposal{
		ID: "p1", Operator: "ana", Subject: "catalogue", Document: twoTargets(addresses[0], addresses[1]),
	})
	is.NoErr(err)
	is.Equal(r.Status, publish.Accepted)
	eventually(t, "the configuration in force", func() bool { return d.Snapshot().Revision == 1 })
	is.True(hasSample(scrape(t, d), "crocushinge_healthy_slots", "8", `service="catalogue"`))

	for range 50 {
		d.control.Observe(link.Observation{
			Target: target.Key{Service: "catalogue", Name: "one"}, Outcome: link.Failed, Latency: time.Millisecond, At: time.Now()})
	}
	eventually(t, "the ejection among the metrics", func() bool {
		m := scrape(t, d)
		return hasSample(m, "crocushinge_targets", "1", `service="catalogue"`, `state="ejected"`) &&
			hasSample(m, "crocushinge_targets", "1", `service="catalogue"`, `state="active"`) &&
			hasSample(m, "crocushinge_healthy_slots", "4", `service="catalogue"`) &&
			hasSample(m, "crocushinge_floor_slots", "4", `service="catalogue"`) &&
			hasSample(m, "crocushinge_events_total", "1", `kind="target-state-changed"`, `to="ejected"`)
	})
	var away []string
	is.NoErr(d.control.Call(context.Background(), func(core *host.Core) {
		for _, s := range serviceStatus(core.Snapshot(), core.Health()) {
			for _, t := range s.Away {
				away = append(away, t.Target+" "+t.State)
			}
		}
	}))
	is.Equal(away, []string{"one ejected"})
}

// metricsPage tells operators what each metric means.
const metricsPage = "../docs/operate/metrics.md"

func TestMetricsPageNamesEveryMetric(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(metricsPage)
	is.NoErr(err)
	d := startDaemon(t, testSettings("one"), memory.New())
	families, err := d.metrics.registry.Gather()
	is.NoErr(err)
	is.True(len(families) > 0)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "crocushinge_") && !strings.Contains(string(page), "`"+f.GetName()+"`") {
			t.Errorf("%s is not on %s", f.GetName(), metricsPage)
		}
	}
}

func TestDurationsOfRequestsAreMeasured(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	_, _, _ = get(t, d.Self().Address, "no such key")
	is.True(hasSample(scrape(t, d), "crocushinge_requests_duration_seconds_count", "1"))
}
