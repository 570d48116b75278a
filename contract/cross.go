package contract

import (
	"crypto/sha256"
	"fmt"
	"sort"
	"strconv"
)

// Document is one published document: exactly one of its fields is set.
type Document struct {
	Contract *Contract
	Accounts *Accounts
	Drain    *Drain
}

// Subject returns the name under which changes of the document are kept.
func (d Document) Subject() string {
	switch {
	case d.Accounts != nil:
		return AccountsSubject(d.Accounts.Name)
	case d.Drain != nil:
		return DrainSubject(d.Drain.Service, d.Drain.Target)
	default:
		return d.Contract.Service
	}
}

// CrossFault is a fault of one document in the light of the others.
type CrossFault struct {
	// Index is the place of the document in the list that was checked.
	Index int
	// Subject is the document that has the fault.
	Subject string
	Fault
}

// crossCheck is the state of one CrossCheck.
type crossCheck struct {
	documents []Document
	faults    []CrossFault
}

func (c *crossCheck) report(index int, field, fix, format string, args ...any) {
	c.faults = append(c.faults, CrossFault{
		Index: index, Subject: c.documents[index].Subject(),
		Fault: Fault{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix},
	})
}

// CrossCheck returns the faults that only show when documents are put beside
// each other: a subject or a route that two have, accounts that share a name
// or a key, and accounts that no document and not the list known defines. Of
// two documents that clash, the later one in the list has the fault.
func CrossCheck(documents []Document, known []string) []CrossFault {
	c := &crossCheck{documents: documents}
	c.checkSubjects()
	c.checkRoutes()
	c.checkReferences(c.checkAccounts(known))
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Index < c.faults[j].Index })
	return c.faults
}

func (c *crossCheck) checkSubjects() {
	seen := make(map[string]int, len(c.documents))
	for i, d := range c.documents {
		if _, twice := seen[d.Subject()]; !twice {
			seen[d.Subject()] = i
			continue
		}
		switch {
		case d.Accounts != nil:
			c.report(i, "name", "rename one of the two", "accounts document %s is declared by two files", d.Accounts.Name)
		case d.Drain != nil:
			c.report(i, "target", "delete one of the two", "target %s/%s is drained by two files", d.Drain.Service, d.Drain.Target)
		default:
			c.report(i, "service", "rename one of the two", "service %s is declared by two files", d.Contract.Service)
		}
	}
}

func (c *crossCheck) checkRoutes() {
	owners := make(map[RouteKey]string)
	for i, d := range c.documents {
		if d.Contract == nil {
			continue
		}
		for n, r := range d.Contract.Routes {
			c.checkRoute(i, n, r, owners)
		}
	}
}

func (c *crossCheck) checkRoute(i, n int, r Route, owners map[RouteKey]string) {
	service := c.documents[i].Contract.Service
	for _, key := range r.Keys() {
		owner, taken := owners[key]
		if !taken {
			owners[key] = service
			continue
		}
		if owner != service {
			c.report(i, "routes["+strconv.Itoa(n)+"].path", "take the route out of one of the two",
				"route %s belongs to service %s already", key, owner)
			return
		}
	}
}

// checkAccounts returns the names of all accounts.
func (c *crossCheck) checkAccounts(known []string) map[string]bool {
	names := make(map[string]bool)
	keys := make(map[[sha256.Size]byte]string)
	for i, d := range c.documents {
		if d.Accounts == nil {
			continue
		}
		for n, a := range d.Accounts.Accounts {
			field := "accounts[" + strconv.Itoa(n) + "]"
			if names[a.Name] {
				c.report(i, field+".name", "delete one of the two", "account %s stands in two documents", a.Name)
				continue
			}
			if owner, taken := keys[a.KeyHash]; taken {
				c.report(i, field+".key-sha256", "give each account its own key", "accounts %s and %s have one key", owner, a.Name)
			}
			names[a.Name] = true
			keys[a.KeyHash] = a.Name
		}
	}
	for _, name := range known {
		names[name] = true
	}
	return names
}

func (c *crossCheck) checkReferences(names map[string]bool) {
	for i, d := range c.documents {
		if d.Contract == nil {
			continue
		}
		for n, a := range d.Contract.Accounts {
			if !names[a] {
				c.report(i, "accounts["+strconv.Itoa(n)+"]", "correct the name, or add the account to an accounts document",
					"account %s is not defined anywhere", a)
			}
		}
	}
}
