package contract

import (
	"crypto/sha256"
	"strconv"
)

// Check returns the faults of the accounts document alone.
func (a *Accounts) Check() []Fault {
	var f faults
	f.name("name", a.Name, "name: shops")
	if len(a.Accounts) == 0 {
		f.report("accounts", "list at least one account, or remove the document", "accounts is missing or empty")
	}
	names := make(map[string]int, len(a.Accounts))
	keys := make(map[[sha256.Size]byte]int, len(a.Accounts))
	for i, account := range a.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		f.name(field+".name", account.Name, "name: bookshop")
		f.repeated(field+".name", "account", account.Name, i, names)
		if account.KeyHash == ([sha256.Size]byte{}) {
			continue
		}
		if first, twice := keys[account.KeyHash]; twice {
			f.report(field+".key-sha256", "give each account its own key", "accounts %s and %s have one key", a.Accounts[first].Name, account.Name)
			continue
		}
		keys[account.KeyHash] = i
	}
	return f
}
