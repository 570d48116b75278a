package caller

import "crypto/sha256"

// Account is a client account, under which callers use services.
type Account struct {
	Name string
	// KeyHash is the SHA-256 of the account's secret key.
	KeyHash [sha256.Size]byte
}

// Accounts finds accounts by their key. It is immutable and safe for
// concurrent use.
type Accounts struct {
	byKey map[[sha256.Size]byte]string
}

// NewAccounts returns a table of the given accounts.
func NewAccounts(list []Account) *Accounts {
	a := &Accounts{byKey: make(map[[sha256.Size]byte]string, len(list))}
	for _, acc := range list {
		a.byKey[acc.KeyHash] = acc.Name
	}
	return a
}

// Authenticate returns the name of the account whose secret key is given.
func (a *Accounts) Authenticate(key string) (name string, ok bool) {
	name, ok = a.byKey[sha256.Sum256([]byte(key))]
	return name, ok
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byKey) }

// NewAccount returns an account with the hash of its secret key.
func NewAccount(name, key string) Account {
	return Account{Name: name, KeyHash: sha256.Sum256([]byte(key))}
}
