package contract

import (
	"crypto/sha256"
	"strings"
)

// Account is a client account: a name and the digest of its secret key.
type Account struct {
	Name string
	// KeyHash is the SHA-256 of the account's secret key.
	KeyHash [sha256.Size]byte
}

// Accounts is a published document that lists client accounts. A deployment
// may split its accounts over several documents.
type Accounts struct {
	// Name names the document; it is unique among the accounts documents.
	Name     string
	Accounts []Account
}

// accountsPrefix tells the subjects of accounts documents from the names of
// services, which hold no slash.
const accountsPrefix = "accounts/"

// AccountsSubject returns the subject of the changes of an accounts document.
func AccountsSubject(name string) string { return accountsPrefix + name }

// AccountsName returns the name of the accounts document that a subject
// stands for. It returns false for a service.
func AccountsName(subject string) (name string, ok bool) {
	return strings.CutPrefix(subject, accountsPrefix)
}
