package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/credential/credentialtest"
	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/wire"
)

const anaToken = "of-ana"

// testFleet is one host that runs in the test's process. Command lines of the
// tool run against its API.
type testFleet struct {
	t     *testing.T
	store *memory.Platform
	api   string
	dir   string
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	return newTestFleetWithTLS(t, credentialtest.Files{})
}

// newTestFleetWithTLS starts a host. The host uses TLS with the given files, or
// no TLS if files is empty.
func newTestFleetWithTLS(t *testing.T, files credentialtest.Files) *testFleet {
	t.Helper()
	tlsSettings := daemon.TLSSettings{CertificateFile: files.Certificate, KeyFile: files.Key, CAFile: files.CA}
	store := memory.New()
	digest := sha256.Sum256([]byte(anaToken))
	host, err := daemon.New(daemon.Settings{
		Host: "one", Zone: "lima-a",
		Address: "127.0.0.1:0", APIAddress: "127.0.0.1:0", FleetAddress: "127.0.0.1:0", FleetToken: "fleet",
		CallerTLS: tlsSettings, APITLS: tlsSettings, FleetTLS: tlsSettings,
		Operators: []daemon.OperatorSettings{{Name: "ana", TokenSHA256: hex.EncodeToString(digest[:])}},
		Accounts:  []daemon.AccountSettings{{Name: "bookshop", KeySHA256: strings.Repeat("ab", sha256.Size)}},
	}, daemon.Platform{Table: store, Objects: store, HostList: store}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &testFleet{t: t, store: store, api: host.Self().APIAddress, dir: t.TempDir()}
}

// run runs one command line as operator ana.
func (f *testFleet) run(args ...string) (code int, out string) {
	f.t.Helper()
	return runTool(append([]string{"crocushinge", "--api", f.api, "--token", anaToken}, args...)...)
}

func runTool(args ...string) (code int, out string) {
	var output bytes.Buffer
	code = run(context.Background(), args, &output, &output)
	return code, output.String()
}

func (f *testFleet) writeFile(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// newTestFleetWithContract returns a fleet with a contract of service a in force.
func newTestFleetWithContract(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshop"))
	if code, out := f.run("publish", f.dir); code != exitOK {
		t.Fatal(out)
	}
	f.awaitRevision(1)
	return f
}

// awaitRevision waits until the host has the revision in force.
func (f *testFleet) awaitRevision(want uint64) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		_, out := f.run("--output", "json", "list")
		var response struct {
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(out), &response) == nil && response.Revision == want {
			return
		}
	}
	f.t.Fatalf("revision %d is not in force after 10 s", want)
}

func contractText(service, path, account string) string {
	return `service: ` + service + `
targets: [{name: one, address: "10.0.0.1:80", zone: lima-a}, {name: two, address: "10.0.0.2:80", zone: lima-a}]
routes: [{path: ` + path + `}]
floor: 4
accounts: [` + account + `]
`
}

func TestPublicationFromEndToEnd(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("z-shops.yaml", "kind: accounts\nname: shops\naccounts: [{name: notary, key-sha256: "+strings.Repeat("cd", sha256.Size)+"}]\n")
	f.writeFile("checkout.yaml", contractText("checkout", "/checkout", "notary"))

	code, out := f.run("publish", "--dry-run", f.dir)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "2 to publish, 0 unchanged; nothing was changed"))

	code, out = f.run("publish", f.dir)
	is.Equal(out, "accounts/shops: accepted, version 1, revision 1\ncheckout: accepted, version 1, revision 2\n2 handed over, 0 unchanged\n")
	is.Equal(code, exitOK)
	f.awaitRevision(2)

	code, out = f.run("publish", f.dir)
	is.Equal(code, exitOK)
	is.Equal(out, "0 handed over, 2 unchanged\n")

	code, out = f.run("get", "checkout")
	is.Equal(code, exitOK)
	is.Equal(out, contractText("checkout", "/checkout", "notary"))

	f.writeFile("checkout.yaml", contractText("checkout", "/orders", "notary"))
	code, out = f.run("diff", f.dir)
	is.Equal(code, exitDifferent)
	is.True(strings.Contains(out, "checkout: version 1 is in force\n-routes: [{path: /checkout}]\n+routes: [{path: /orders}]\n"))
	code, _ = f.run("publish", f.dir)
	is.Equal(code, exitOK)
	f.awaitRevision(3)

	code, out = f.run("remove", "accounts/shops")
	is.Equal(code, exitRejected)
	is.True(strings.Contains(out, "checkout: account notary is not defined anywhere"))
	code, _ = f.run("remove", "checkout")
	is.Equal(code, exitOK)
	f.awaitRevision(4)

	code, out = f.run("history", "checkout")
	is.Equal(code, exitOK)
	is.Equal(strings.Count(out, "by ana at"), 3)
	is.True(strings.Contains(out, "checkout (removed): version 3, revision 4"))
	code, out = f.run("get", "--revision", "2")
	is.Equal(code, exitOK)
	is.Equal(out, contractText("checkout", "/checkout", "notary"))
}

// One publication moves a route from one contract to another. The contract that
// gains the route is rejected at first. The tool proposes it again after the
// contract that gives up the route is accepted.
func TestRouteMovesBetweenServices(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/b", "bookshop"))
	f.writeFile("b.yaml", contractText("b", "/a", "bookshop"))
	code, _ := f.run("publish", f.dir)
	is.Equal(code, exitOK)
	f.awaitRevision(2)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshop"))
	f.writeFile("b.yaml", contractText("b", "/c", "bookshop"))
	code, out := f.run("publish", f.dir)
	is.Equal(out, "b: accepted, version 2, revision 3\na: accepted, version 2, revision 4\n2 handed over, 0 unchanged\n")
	is.Equal(code, exitOK)
}

func TestFindingsStopAPublication(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshelf"))
	f.writeFile("b.yaml", strings.Replace(contractText("b", "/a", "bookshop"), "floor: 4", "floor: 9", 1))
	code, out := f.run("publish", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "a.yaml:5:12: account bookshelf is not defined anywhere"))
	is.True(strings.Contains(out, "b.yaml:4:8: floor of 9 slots is above the capacity"))
	code, out = f.run("--output", "json", "check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, `"line": 4`))
}

func TestUnknownResultIsResolved(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshop"))
	f.store.Faults.LoseResponses(16) // every write takes effect or conflicts, and its response is lost
	code, out := f.run("publish", "--proposal", "p1", f.dir)
	is.Equal(code, exitOK) // the host read the result back
	is.Equal(out, "a: accepted, version 1, revision 1\n1 handed over, 0 unchanged\n")
	f.store.Faults.Reset()

	code, out = f.run("resolve", "p1:a")
	is.Equal(code, exitOK)
	is.Equal(out, "a: accepted, version 1, revision 1\n")
	code, out = f.run("resolve", "p2:a")
	is.Equal(code, exitRejected)
	is.True(strings.Contains(out, "p2:a: rejected (abandoned)"))

	f.store.Faults.SetDown(true)
	code, out = f.run("resolve", "p3:a")
	is.Equal(code, exitUnknown)
	is.True(strings.Contains(out, "still unknown"))
	f.store.Faults.SetDown(false)
}

func TestUnknownResultPrintsTheResolveCommand(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cmd := newCommand(&out, &out)
	result := publish.Result{Status: publish.Undecided, Proposal: "p1:a", Subject: "a"}
	printResult(cmd, result)
	is.Equal(out.String(), "a: unknown; the change may be in force or not. Decide it with:\n  crocushinge resolve p1:a\n")
	is.Equal(exitCode(resultsError([]publish.Result{result})), exitUnknown)
}

func TestCredentials(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	code, out := runTool("crocushinge", "--api", f.api, "list")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "no operator token"))
	code, out = runTool("crocushinge", "--api", f.api, "--token", "wrong", "list")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "401 Unauthorized: wrong operator token"))
	f.writeFile("ana.token", anaToken+"\n")
	code, _ = runTool("crocushinge", "--api", f.api, "--token-file", filepath.Join(f.dir, "ana.token"), "list")
	is.Equal(code, exitOK)
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	for _, args := range [][]string{
		{"publish"}, {"check", "a", "b"}, {"get"}, {"drain", "a"}, {"publish", "--no-such-flag", "a"}, {"no-such-command"},
		{"--output", "xml", "list"}, {"check", f.dir},
	} {
		code, out := f.run(args...)
		if code != exitUsage {
			t.Errorf("%v: exit %d, %s", args, code, out)
		}
	}
	code, out := f.run("drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "no contract in force declares target a/one"))
	code, _ = runTool("crocushinge", "--api", "127.0.0.1:1", "--token", "x", "list")
	is.Equal(code, exitFailure)
}

func TestTimelineNamesTheOperator(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	code, out := f.run("drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if code, out = f.run("timeline", "--service", "a"); strings.Contains(out, "to=leaving") {
			break
		}
	}
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, `operator-drained service=a target=one reason="by ana"`))
	is.True(strings.Contains(out, "target-state-changed service=a target=one"))
	is.True(!strings.Contains(out, "host-started")) // belongs to no service
	_, out = f.run("timeline")
	is.True(strings.Contains(out, "one host-started"))
	code, out = f.run("timeline", "--since", "yesterday")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "yesterday is no time"))

	code, out = f.run("explain", "one.1.1.1")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "No host has recorded an end of this request."))
	code, _ = f.run("explain", "no-id")
	is.Equal(code, exitUsage)
}

func TestStaleBaseIsAConflict(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshop"))
	code, _ := f.run("publish", f.dir)
	is.Equal(code, exitOK)
	c := newTestClient(f.api)
	stale := plannedChange{subject: "a", document: []byte(contractText("a", "/b", "bookshop")), proposal: "p2:a"}
	result, err := c.propose(context.Background(), stale)
	is.NoErr(err)
	is.Equal(exitCode(resultsError([]publish.Result{result})), exitRejected)
	var out bytes.Buffer
	printResult(newCommand(&out, &out), result)
	is.True(strings.HasPrefix(out.String(), "a: rejected (conflict): a holds version 1, published by ana at "))
	is.True(strings.HasSuffix(out.String(), " in revision 1\n"))
}

func TestFleetStatus(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	code, out := f.run("status", "--fleet")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "revision 1 is in force on 1 of 1 host\n"))
}

// The host closes connections after it has read the proposal. The tool repeats
// the proposal with the same id, and reports an unknown result if no attempt
// gets a response.
func TestProposalIsRepeatedAfterLostResponse(t *testing.T) {
	for _, lost := range []int{1, proposeAttempts} {
		is := is.New(t)
		var proposals []string
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			proposals = append(proposals, r.URL.Query().Get("proposal"))
			if len(proposals) <= lost {
				panic(http.ErrAbortHandler)
			}
			_ = json.NewEncoder(w).Encode(publish.Result{Status: publish.Accepted, Subject: "a"})
		}))
		c := newTestClient(strings.TrimPrefix(host.URL, "http://"))
		result, err := c.propose(context.Background(), plannedChange{subject: "a", document: []byte("x"), proposal: "p1:a"})
		host.Close()
		is.NoErr(err)
		if lost == 1 {
			is.Equal(result.Status, publish.Accepted)
			is.Equal(proposals, []string{"p1:a", "p1:a"})
			continue
		}
		is.Equal(result.Status, publish.Undecided)
		is.Equal(result.Proposal, "p1:a")
		is.Equal(len(proposals), proposeAttempts)
	}
}

// The host's table becomes unavailable after the first document. The output says
// which documents were accepted and which have no result.
func TestInterruptedPublicationListsWhatWasDone(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.writeFile("a.yaml", contractText("a", "/a", "bookshop"))
	f.writeFile("b.yaml", contractText("b", "/b", "bookshop"))
	f.writeFile("c.yaml", contractText("c", "/c", "bookshop"))
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/documents":
			_ = json.NewEncoder(w).Encode(wire.Documents{KnownAccounts: []string{"bookshop"}})
		case "/v1/documents/a":
			_ = json.NewEncoder(w).Encode(publish.Result{Status: publish.Accepted, Subject: "a", Version: 1, Revision: 1})
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(wire.ErrorResponse{Error: "platform unavailable"})
		}
	}))
	defer host.Close()
	code, out := runTool("crocushinge", "--api", strings.TrimPrefix(host.URL, "http://"), "--token", anaToken, "publish", f.dir)
	is.Equal(code, exitFailure)
	is.Equal(out, "a: accepted, version 1, revision 1\n1 handed over, 0 unchanged\nnot handed over: b, c\n"+
		"hand over b: 503 Service Unavailable: platform unavailable\n")
}

func TestStatusListsLeavingTargets(t *testing.T) {
	is := is.New(t)
	f := newTestFleetWithContract(t)
	code, out := f.run("status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "a: 2 of 2 targets take work; 8 slots healthy, floor 4\n"))
	code, _ = f.run("drain", "a", "two")
	is.Equal(code, exitOK)
	// The host responds before its control thread has applied the drain.
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(out, "leaving"); _, out = f.run("status") {
		is.True(time.Now().Before(deadline))
	}
	is.True(strings.Contains(out, "a: 1 of 2 targets take work; 4 slots healthy, floor 4\n  two: leaving since "))
}
