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

// Accounts is a published document that lists client accounts. The accounts of
// a fleet may be split over several documents.
type Accounts struct {
	// Name is unique among the accounts documents.
	Name     string
	Accounts []Account
}

// accountsSubjectPrefix distinguishes the subjects of accounts documents from
// the names of services, which contain no slash.
const accountsSubjectPrefix = "accounts/"

// AccountsSubject returns the subject under which changes of an accounts
// document are stored.
func AccountsSubject(name string) string { return accountsSubjectPrefix + name }

// AccountsDocumentName returns the name of the accounts document with the
// given subject. It returns false for any other subject.
func AccountsDocumentName(subject string) (name string, ok bool) {
	return strings.CutPrefix(subject, accountsSubjectPrefix)
}
