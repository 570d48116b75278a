package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/traffic"
)

const testKey = "bookshop-key"

func testSettings(name string, seeds ...string) Settings {
	sum := sha256.Sum256([]byte(testKey))
	return Settings{
		Host: name, Zone: "lima-a",
		Address: "127.0.0.1:0", APIAddress: "127.0.0.1:0", FleetAddress: "127.0.0.1:0",
		Seeds: seeds, FleetToken: "fleet", OperatorToken: "operator",
		Zones:    []ZoneSettings{{ID: "lima-a", Region: "lima"}},
		Accounts: []AccountSettings{{Name: "bookshop", KeySHA256: hex.EncodeToString(sum[:])}},
	}
}

// startDaemon runs a daemon with an in-memory platform until the test ends.
func startDaemon(t *testing.T, s Settings, store *memory.Platform) *Daemon {
	t.Helper()
	return startDaemonWith(t, s, Platform{Table: store, Objects: store, HostList: store})
}

// startDaemonWith runs a daemon with a platform and options until the test ends. The
// leave time is 0, so that the shutdown is fast. The test fails when the daemon returns
// an error.
func startDaemonWith(t *testing.T, s Settings, platform Platform, opts ...Option) *Daemon {
	t.Helper()
	d, err := New(s, platform, zerolog.Nop(), append(opts, WithLeaveTime(0))...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d
}

// eventually waits up to 10 seconds for a condition to become true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

func testContract(address string) []byte {
	return fmt.Appendf(nil, `
service: catalogue
targets: [{name: one, address: "%s", zone: lima-a, slots: 4}]
routes: [{path: /catalogue, idempotent: true, deadline: 2s}]
floor: 50%%
accounts: [bookshop]
`, address)
}

// sendRequest sends a request as a caller and returns the status, the result header
// and the body of the response.
func sendRequest(t *testing.T, address, key string) (int, string, string) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/catalogue/1", nil)
	req.Header.Set(traffic.HeaderAccountKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(traffic.HeaderResult), string(data)
}

func TestRequestThroughTwoHosts(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "sheet for "+r.URL.Path)
	}))
	defer target.Close()
	store := memory.New()
	first := startDaemon(t, testSettings("one"), store)
	second := startDaemon(t, testSettings("two", first.Self().FleetAddress), store)

	result, err := first.store.Propose(context.Background(), publish.Proposal{
		ID: "p1", Operator: "ana", Subject: "catalogue",
		Document: testContract(strings.TrimPrefix(target.URL, "http://")),
	})
	is.NoErr(err)
	is.Equal(result.Status, publish.Accepted)

	for _, d := range []*Daemon{first, second} {
		eventually(t, "revision 1 in force", func() bool { return d.control.snapshot.Load().Revision == 1 })
		status, result, body := sendRequest(t, d.Self().Address, testKey)
		is.Equal(status, http.StatusOK)
		is.Equal(result, "completed")
		is.Equal(body, "sheet for /catalogue/1")
		status, result, _ = sendRequest(t, d.Self().Address, "wrong")
		is.Equal(status, http.StatusUnauthorized)
		is.Equal(result, "not-run")
	}
	eventually(t, "both hosts in the directory", func() bool {
		return len(first.control.snapshot.Load().Directory) == 2 && len(second.control.snapshot.Load().Directory) == 2
	})
}
