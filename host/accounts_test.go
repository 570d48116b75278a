package host

import (
	"crypto/sha256"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
)

func accountsChange(revision uint64, names ...string) contract.Change {
	doc := &contract.Accounts{Name: "shops"}
	for _, name := range names {
		doc.Accounts = append(doc.Accounts, contract.Account{Name: name, KeyHash: sha256.Sum256([]byte(name + "-key"))})
	}
	return contract.Change{
		Revision: revision, Service: contract.AccountsSubject("shops"), Version: revision,
		Accounts: doc, Document: []byte("kind: accounts"),
	}
}

func publishedAccounts(t *testing.T, effects []Effect) *caller.Accounts {
	t.Helper()
	for _, e := range effects {
		if p, ok := e.(Publish); ok {
			return p.Snapshot.Accounts
		}
	}
	t.Fatal("no snapshot was published")
	return nil
}

func TestAccountsFollowTheirDocument(t *testing.T) {
	is := is.New(t)
	settings := caller.Account{Name: "first-run", KeyHash: sha256.Sum256([]byte("first-run-key"))}
	core := New(Config{Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 2)), Accounts: []caller.Account{settings}})
	now := time.UnixMilli(1_000_000)

	accounts := publishedAccounts(t, core.Handle(now, ConfigurationRead{
		Revision: 1, Changes: []contract.Change{accountsChange(1, "bookshop", "notary")},
	}))
	is.Equal(accounts.Len(), 3)

	accounts = publishedAccounts(t, core.Handle(now, ConfigurationRead{
		Revision: 2, Changes: []contract.Change{accountsChange(2, "notary")},
	}))
	_, ok := accounts.Authenticate("bookshop-key")
	is.True(!ok) // the newer document no longer contains the account
	name, ok := accounts.Authenticate("notary-key")
	is.True(ok)
	is.Equal(name, "notary")

	removed := contract.Change{Revision: 3, Service: contract.AccountsSubject("shops"), Version: 3}
	accounts = publishedAccounts(t, core.Handle(now, ConfigurationRead{Revision: 3, Changes: []contract.Change{removed}}))
	is.Equal(accounts.Len(), 1) // the accounts of the settings stay
}
