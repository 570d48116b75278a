package contract

import (
	"strconv"

	"github.com/crocushinge/crocushinge/caller"
)

// Check returns the problems that can be found without looking at other
// documents.
func (a *Accounts) Check() []Problem {
	var p problems
	p.checkName("name", a.Name, "name: shops")
	if len(a.Accounts) == 0 {
		p.report("accounts", "list at least one account, or remove the document", "accounts is missing or empty")
	}
	names := make(map[string]int, len(a.Accounts))
	keys := make(map[caller.KeyDigest]int, len(a.Accounts))
	for i, account := range a.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		p.checkName(field+".name", account.Name, "name: bookshop")
		p.checkUnique(field+".name", "account", account.Name, i, names)
		for n, digest := range account.Keys {
			if digest == (caller.KeyDigest{}) {
				continue // the key could not be decoded, which the parser reports
			}
			if first, duplicate := keys[digest]; duplicate {
				p.report(keyField(i, n), "give each account its own key", "accounts %s and %s have one key", a.Accounts[first].Name, account.Name)
				continue
			}
			keys[digest] = i
		}
	}
	return p
}
