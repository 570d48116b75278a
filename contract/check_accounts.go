package contract

import (
	"crypto/sha256"
	"strconv"
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
	keys := make(map[[sha256.Size]byte]int, len(a.Accounts))
	for i, account := range a.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		p.checkName(field+".name", account.Name, "name: bookshop")
		p.checkUnique(field+".name", "account", account.Name, i, names)
		if account.KeyHash == ([sha256.Size]byte{}) {
			continue // the key could not be decoded, which the parser reports
		}
		if first, duplicate := keys[account.KeyHash]; duplicate {
			p.report(field+".key-sha256", "give each account its own key", "accounts %s and %s have one key", a.Accounts[first].Name, account.Name)
			continue
		}
		keys[account.KeyHash] = i
	}
	return p
}
