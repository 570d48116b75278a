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

// fleet is one host with the tool's command lines against it.
type fleet struct {
	t     *testing.T
	store *memory.Platform
	api   string
	dir   string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWith(t, credentialtest.Files{})
}

// newFleetWith runs a host that has TLS by the files, if any.
func newFleetWith(t *testing.T, files credentialtest.Files) *fleet {
	t.Helper()
	tls := daemon.TLSSettings{CertificateFile: files.Certificate, KeyFile: files.Key, CAFile: files.CA}
	store := memory.New()
	digest := sha256.Sum256([]byte(anaToken))
	d, err := daemon.New(daemon.Settings{
		Host: "one", Zone: "lima-a",
		Address: "127.0.0.1:0", APIAddress: "127.0.0.1:0", FleetAddress: "127.0.0.1:0", FleetToken: "fleet",
		CallerTLS: tls, APITLS: tls, FleetTLS: tls,
		Operators: []daemon.OperatorSettings{{Name: "ana", TokenSHA256: hex.EncodeToString(digest[:])}},
		Accounts:  []daemon.AccountSettings{{Name: "bookshop", KeySHA256: strings.Repeat("ab", sha256.Size)}},
	}, daemon.Platform{Table: store, Objects: store, HostList: store}, zerolog.Nop())
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
	return &fleet{t: t, store: store, api: d.Self().APIAddress, dir: t.TempDir()}
}

// tool runs one command line as operator ana.
func (f *fleet) tool(args ...string) (code int, out string) {
	f.t.Helper()
	return runTool(append([]string{"crocushinge", "--api", f.api, "--token", anaToken}, args...)...)
}

func runTool(args ...string) (code int, out string) {
	var both bytes.Buffer
	code = run(context.Background(), args, &both, &both)
	return code, both.String()
}

func (f *fleet) write(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// newFleetInForce returns a fleet with the contract of service a in force.
func newFleetInForce(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/a", "bookshop"))
	if code, out := f.tool("publish", f.dir); code != exitOK {
		t.Fatal(out)
	}
	f.awaitRevision(1)
	return f
}

// awaitRevision waits until the host has the revision in force.
func (f *fleet) awaitRevision(want uint64) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		_, out := f.tool("--output", "json", "list")
		var answer struct {
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(out), &answer) == nil && answer.Revision == want {
			return
		}
	}
	f.t.Fatalf("revision %d is not in force within 10 s", want)
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
	f := newFleet(t)
	f.write("z-shops.yaml", "kind: accounts\nname: shops\naccounts: [{name: notary, key-sha256: "+strings.Repeat("cd", sha256.Size)+"}]\n")
	f.write("checkout.yaml", contractText("checkout", "/checkout", "notary"))

	code, out := f.tool("publish", "--dry-run", f.dir)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "2 to publish, 0 unchanged; nothing was changed"))

	code, out = f.tool("publish", f.dir)
	is.Equal(out, "accounts/shops: accepted, version 1, revision 1\ncheckout: accepted, version 1, revision 2\n2 handed over, 0 unchanged\n")
	is.Equal(code, exitOK)
	f.awaitRevision(2)

	code, out = f.tool("publish", f.dir)
	is.Equal(code, exitOK)
	is.Equal(out, "0 handed over, 2 unchanged\n")

	code, out = f.tool("get", "checkout")
	is.Equal(code, exitOK)
	is.Equal(out, contractText("checkout", "/checkout", "notary"))

	f.write("checkout.yaml", contractText("checkout", "/orders", "notary"))
	code, out = f.tool("diff", f.dir)
	is.Equal(code, exitDifferent)
	is.True(strings.Contains(out, "checkout: version 1 is in force\n-routes: [{path: /checkout}]\n+routes: [{path: /orders}]\n"))
	code, _ = f.tool("publish", f.dir)
	is.Equal(code, exitOK)
	f.awaitRevision(3)

	code, out = f.tool("remove", "accounts/shops")
	is.Equal(code, exitRejected)
	is.True(strings.Contains(out, "checkout: account notary is not defined anywhere"))
	code, _ = f.tool("remove", "checkout")
	is.Equal(code, exitOK)
	f.awaitRevision(4)

	code, out = f.tool("history", "checkout")
	is.Equal(code, exitOK)
	is.Equal(strings.Count(out, "by ana at"), 3)
	is.True(strings.Contains(out, "checkout (removed): version 3, revision 4"))
	code, out = f.tool("get", "--revision", "2")
	is.Equal(code, exitOK)
	is.Equal(out, contractText("checkout", "/checkout", "notary"))
}

// TestRouteMovesBetweenServices publishes a route's new owner together with
// the contract that gives it up.
func TestRouteMovesBetweenServices(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/b", "bookshop"))
	f.write("b.yaml", contractText("b", "/a", "bookshop"))
	code, _ := f.tool("publish", f.dir)
	is.Equal(code, exitOK)
	f.awaitRevision(2)
	f.write("a.yaml", contractText("a", "/a", "bookshop"))
	f.write("b.yaml", contractText("b", "/c", "bookshop"))
	code, out := f.tool("publish", f.dir)
	is.Equal(out, "b: accepted, version 2, revision 3\na: accepted, version 2, revision 4\n2 handed over, 0 unchanged\n")
	is.Equal(code, exitOK)
}

func TestFindingsStopAPublication(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/a", "bookshelf"))
	f.write("b.yaml", strings.Replace(contractText("b", "/a", "bookshop"), "floor: 4", "floor: 9", 1))
	code, out := f.tool("publish", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "a.yaml:5:12: account bookshelf is not defined anywhere"))
	is.True(strings.Contains(out, "b.yaml:4:8: floor of 9 slots is above the capacity"))
	code, out = f.tool("--output", "json", "check", f.dir)
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, `"line": 4`))
}

func TestUnknownResultIsResolved(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/a", "bookshop"))
	f.store.Faults.LoseResponses(16) // every write takes effect or conflicts, none is answered
	code, out := f.tool("publish", "--proposal", "p1", f.dir)
	is.Equal(code, exitOK) // read back
	is.Equal(out, "a: accepted, version 1, revision 1\n1 handed over, 0 unchanged\n")
	f.store.Faults.Reset()

	code, out = f.tool("resolve", "p1:a")
	is.Equal(code, exitOK)
	is.Equal(out, "a: accepted, version 1, revision 1\n")
	code, out = f.tool("resolve", "p2:a")
	is.Equal(code, exitRejected)
	is.True(strings.Contains(out, "p2:a: rejected (abandoned)"))

	f.store.Faults.SetDown(true)
	code, out = f.tool("resolve", "p3:a")
	is.Equal(code, exitUnknown)
	is.True(strings.Contains(out, "still unknown"))
	f.store.Faults.SetDown(false)
}

func TestUnknownResultNamesTheCommand(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cmd := newCommand(&out, &out)
	r := publish.Result{Status: publish.Undecided, Proposal: "p1:a", Subject: "a"}
	printResult(cmd, r)
	is.Equal(out.String(), "a: unknown; the change may be in force or not. Decide it with:\n  crocushinge resolve p1:a\n")
	is.Equal(exitCode(resultsError([]publish.Result{r})), exitUnknown)
}

func TestCredentials(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	code, out := runTool("crocushinge", "--api", f.api, "list")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "no operator token"))
	code, out = runTool("crocushinge", "--api", f.api, "--token", "wrong", "list")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "401 Unauthorized: wrong operator token"))
	f.write("ana.token", anaToken+"\n")
	code, _ = runTool("crocushinge", "--api", f.api, "--token-file", filepath.Join(f.dir, "ana.token"), "list")
	is.Equal(code, exitOK)
}

func TestUsage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	for _, args := range [][]string{
		{"publish"}, {"check", "a", "b"}, {"get"}, {"drain", "a"}, {"publish", "--no-such-flag", "a"}, {"no-such-command"},
		{"--output", "xml", "list"}, {"check", f.dir},
	} {
		code, out := f.tool(args...)
		if code != exitUsage {
			t.Errorf("%v: exit %d, %s", args, code, out)
		}
	}
	code, out := f.tool("drain", "a", "one")
	is.Equal(code, exitFailure)
	is.True(strings.Contains(out, "no contract in force declares target a/one"))
	code, _ = runTool("crocushinge", "--api", "127.0.0.1:1", "--token", "x", "list")
	is.Equal(code, exitFailure)
}

func TestTimelineNamesTheOperator(t *testing.T) {
	is := is.New(t)
	f := newFleetInForce(t)
	code, out := f.tool("drain", "a", "one")
	is.Equal(code, exitOK)
	is.Equal(out, "a/one gets no more work\n")
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if code, out = f.tool("timeline", "--service", "a"); strings.Contains(out, "to=leaving") {
			break
		}
	}
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, `operator-drained service=a target=one reason="by ana"`))
	is.True(strings.Contains(out, "target-state-changed service=a target=one"))
	is.True(!strings.Contains(out, "host-started")) // not of the service
	_, out = f.tool("timeline")
	is.True(strings.Contains(out, "one host-started"))
	code, out = f.tool("timeline", "--since", "yesterday")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(out, "yesterday is no time"))

	code, out = f.tool("explain", "one.1.1.1")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "No host has recorded an end of this request."))
	code, _ = f.tool("explain", "no-id")
	is.Equal(code, exitUsage)
}

func TestStaleBaseIsAConflict(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/a", "bookshop"))
	code, _ := f.tool("publish", f.dir)
	is.Equal(code, exitOK)
	c := newTestClient(f.api)
	stale := planned{subject: "a", document: []byte(contractText("a", "/b", "bookshop")), proposal: "p2:a"}
	r, err := c.propose(context.Background(), stale)
	is.NoErr(err)
	is.Equal(exitCode(resultsError([]publish.Result{r})), exitRejected)
	var out bytes.Buffer
	printResult(newCommand(&out, &out), r)
	is.True(strings.HasPrefix(out.String(), "a: rejected (conflict): a holds version 1, published by ana at "))
	is.True(strings.HasSuffix(out.String(), " in revision 1\n"))
}

func TestFleetStatus(t *testing.T) {
	is := is.New(t)
	f := newFleetInForce(t)
	code, out := f.tool("status", "--fleet")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "revision 1 is in force on 1 of 1 host\n"))
}

// TestLostAnswerIsFollowedByTheSameProposal puts a host in front that drops
// connections after it has read the proposal.
func TestLostAnswerIsFollowedByTheSameProposal(t *testing.T) {
	for _, lost := range []int{1, sendAttempts} {
		is := is.New(t)
		var ids []string
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ids = append(ids, r.URL.Query().Get("proposal"))
			if len(ids) <= lost {
				panic(http.ErrAbortHandler)
			}
			_ = json.NewEncoder(w).Encode(publish.Result{Status: publish.Accepted, Subject: "a"})
		}))
		c := newTestClient(strings.TrimPrefix(host.URL, "http://"))
		r, err := c.propose(context.Background(), planned{subject: "a", document: []byte("x"), proposal: "p1:a"})
		host.Close()
		is.NoErr(err)
		if lost == 1 {
			is.Equal(r.Status, publish.Accepted)
			is.Equal(ids, []string{"p1:a", "p1:a"})
			continue
		}
		is.Equal(r.Status, publish.Undecided)
		is.Equal(r.Proposal, "p1:a")
		is.Equal(len(ids), sendAttempts)
	}
}

// TestPublicationThatFailsHalfWaySaysWhatIsDone has a host whose table goes
// away after the first document.
func TestPublicationThatFailsHalfWaySaysWhatIsDone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.write("a.yaml", contractText("a", "/a", "bookshop"))
	f.write("b.yaml", contractText("b", "/b", "bookshop"))
	f.write("c.yaml", contractText("c", "/c", "bookshop"))
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

func TestStatusNamesTargetsThatAreAway(t *testing.T) {
	is := is.New(t)
	f := newFleetInForce(t)
	code, out := f.tool("status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "a: 2 of 2 targets take work; 8 slots healthy, floor 4\n"))
	code, _ = f.tool("drain", "a", "two")
	is.Equal(code, exitOK)
	// The host answers before its control thread has taken the drain.
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out, "leaving"); _, out = f.tool("status") {
		is.True(time.Now().Before(end))
	}
	is.True(strings.Contains(out, "a: 1 of 2 targets take work; 4 slots healthy, floor 4\n  two: leaving since "))
}
