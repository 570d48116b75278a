package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// Published accounts may use the services whose contracts list them, and no others.
// A removed account is unauthorized.
func TestPublishedAccountsReachTheirServicesOnly(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "sheet")
	}))
	defer target.Close()
	d := startDaemon(t, testSettings("one"), memory.New())
	revision := uint64(0)
	publishDocument := func(subject string, document []byte, base uint64) {
		revision++
		result, err := d.store.Propose(context.Background(), publish.Proposal{
			ID: fmt.Sprint("p", revision), Operator: "ana", Subject: subject, Document: document, Base: base,
		})
		is.NoErr(err)
		is.Equal(result.Status, publish.Accepted)
		d.readConfiguration(host.ReadConfiguration{After: history.Position{Revision: revision - 1}})
		eventually(t, "the change in force", func() bool { return d.control.snapshot.Load().Revision == revision })
	}
	accountsDocument := func(names ...string) []byte {
		text := "kind: accounts\nname: shops\naccounts:\n"
		for _, name := range names {
			text += fmt.Sprintf("  - {name: %s, key-sha256: \"%x\"}\n", name, sha256.Sum256([]byte(name+"-key")))
		}
		return []byte(text)
	}
	publishDocument("accounts/shops", accountsDocument("notary", "school"), 0)
	contract := string(testContract(strings.TrimPrefix(target.URL, "http://")))
	publishDocument("catalogue", []byte(strings.Replace(contract, "[bookshop]", "[notary]", 1)), 0)

	for key, want := range map[string]int{
		"notary-key": http.StatusOK, "school-key": http.StatusForbidden, testKey: http.StatusForbidden, "notary": http.StatusUnauthorized,
	} {
		status, _, _ := sendRequest(t, d.Self().Address, key)
		is.Equal(status, want)
	}
	publishDocument("catalogue", []byte(strings.Replace(contract, "[bookshop]", "[school]", 1)), 1)
	publishDocument("accounts/shops", accountsDocument("school"), 1)
	status, result, _ := sendRequest(t, d.Self().Address, "notary-key")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(result, "not-run")
	status, _, _ = sendRequest(t, d.Self().Address, "school-key")
	is.Equal(status, http.StatusOK)
}
