package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/storage/open"
	"github.com/crocushinge/crocushinge/storage/standin"
)

// startPlatform runs a stand-in for the platform's services and returns it with the
// settings to connect to it.
func startPlatform(t *testing.T) (*standin.Standin, open.Settings) {
	t.Helper()
	services := standin.New(standin.Config{Table: "t", Bucket: "b", AccessKeyID: "k"}, memory.New())
	server := httptest.NewServer(services)
	t.Cleanup(server.Close)
	credentials := filepath.Join(t.TempDir(), "credentials.yaml")
	if err := os.WriteFile(credentials, []byte("access-key-id: k\nsecret-access-key: s\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return services, open.Settings{
		Kind: open.Service, Region: "test", CredentialsFile: credentials,
		TableEndpoint: server.URL, Table: "t", ObjectEndpoint: server.URL, Bucket: "b",
		HostList: server.URL + standin.HostListPath,
	}
}

// startDaemonOnPlatform runs a daemon that connects to the platform over HTTP.
func startDaemonOnPlatform(t *testing.T, s Settings, platform open.Settings) *Daemon {
	t.Helper()
	services, err := open.Open(platform)
	if err != nil {
		t.Fatal(err)
	}
	return startDaemonWith(t, s, Platform(services))
}

func TestHostsShareAPlatformOverItsProtocols(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "sheet for "+r.URL.Path)
	}))
	defer target.Close()
	services, platform := startPlatform(t)
	// The hosts have no seeds; they share the configuration only through the
	// metadata store.
	first := startDaemonOnPlatform(t, testSettings("one"), platform)
	second := startDaemonOnPlatform(t, testSettings("two"), platform)

	services.Table.LoseResponses(1)
	result, err := first.store.Propose(context.Background(), publish.Proposal{
		ID: "p1", Operator: "ana", Subject: "catalogue",
		Document: testContract(strings.TrimPrefix(target.URL, "http://")),
	})
	is.NoErr(err)
	is.Equal(result.Status, publish.Accepted)
	for _, d := range []*Daemon{first, second} {
		eventually(t, "revision 1 in force", func() bool { return d.control.snapshot.Load().Revision == 1 })
	}

	for _, setDown := range []func(bool){services.Table.SetDown, services.Objects.SetDown, services.HostList.SetDown} {
		setDown(true)
	}
	for _, d := range []*Daemon{first, second} {
		status, result, body := sendRequest(t, d.Self().Address, testKey)
		is.Equal(status, http.StatusOK)
		is.Equal(result, "completed")
		is.Equal(body, "sheet for /catalogue/1")
	}
}

func TestHostWithoutConfigurationRespondsNotRun(t *testing.T) {
	is := is.New(t)
	services, platform := startPlatform(t)
	services.Table.SetDown(true)
	d := startDaemonOnPlatform(t, testSettings("one"), platform)
	eventually(t, "a snapshot", func() bool { return d.control.snapshot.Load() != nil })
	status, result, _ := sendRequest(t, d.Self().Address, testKey)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(result, "not-run")
	services.Table.SetDown(false)
	eventually(t, "the host is ready", func() bool { return d.control.snapshot.Load().Ready })
}
