package contract

import (
	"strconv"
	"strings"

	"github.com/crocushinge/crocushinge/caller"
)

// Accounts is a published document that lists client accounts. The accounts of
// a fleet may be split over several documents.
type Accounts struct {
	// Name is unique among the accounts documents.
	Name     string
	Accounts []caller.Account
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

// keyField returns the path of a key of an account in its document. The first key has a field of
// its own.
func keyField(account, key int) string {
	field := "accounts[" + strconv.Itoa(account) + "]."
	if key == 0 {
		return field + "key-sha256"
	}
	return field + "more-key-sha256[" + strconv.Itoa(key-1) + "]"
}
