package caller

import (
	"crypto/sha256"
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Account is a client account. A caller authenticates with its secret key.
type Account struct {
	Name string
	// KeyHash is the SHA-256 of the account's secret key.
	KeyHash [sha256.Size]byte
	// Priority replaces the priority of the routes for the account's requests if HasPriority is
	// set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota limits the requests that an account may send to all hosts together.
type Quota struct {
	// Rate is in requests a second; 0 means no limit. Burst is how many requests may come at once
	// in addition.
	Rate, Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// AccountHash identifies an account in the messages between hosts.
type AccountHash uint32

// NewAccountHash returns the hash of an account's name.
func NewAccountHash(name string) AccountHash {
	h := xxhash.Sum64String(name)
	return AccountHash(h ^ h>>32)
}

// Accounts looks accounts up by their secret key. It is immutable and safe for
// concurrent use.
type Accounts struct {
	// byKey maps the hash of a key to the name of its account.
	byKey map[[sha256.Size]byte]string
	list  []Account
}

// NewAccounts returns a lookup table of the given accounts.
func NewAccounts(list []Account) *Accounts {
	accounts := &Accounts{byKey: make(map[[sha256.Size]byte]string, len(list)), list: list}
	for _, account := range list {
		accounts.byKey[account.KeyHash] = account.Name
	}
	return accounts
}

// Authenticate returns the name of the account that the secret key belongs to,
// and false when it belongs to none.
func (a *Accounts) Authenticate(key string) (name string, ok bool) {
	name, ok = a.byKey[sha256.Sum256([]byte(key))]
	return name, ok
}

// All returns the accounts.
func (a *Accounts) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		if a == nil {
			return
		}
		for i := range a.list {
			if !yield(&a.list[i]) {
				return
			}
		}
	}
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byKey) }

// NewAccount returns an account that keeps only the hash of its secret key.
func NewAccount(name, key string) Account {
	return Account{Name: name, KeyHash: sha256.Sum256([]byte(key))}
}
