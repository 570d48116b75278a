package contract

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/crocushinge/crocushinge/caller"
)

// Document is one published document: exactly one of its fields is set.
type Document struct {
	Contract *Contract
	Accounts *Accounts
	Drain    *Drain
}

// Subject returns the name under which changes of the document are stored.
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

// CrossProblem is a problem of one document that involves other documents.
type CrossProblem struct {
	// Index is the index of the document in the list that was checked.
	Index int
	// Subject identifies the document that has the problem.
	Subject string
	Problem
}

// crossChecker is the state of one call of CrossCheck.
type crossChecker struct {
	documents []Document
	problems  []CrossProblem
}

func (c *crossChecker) report(index int, field, fix, format string, args ...any) {
	c.problems = append(c.problems, CrossProblem{
		Index: index, Subject: c.documents[index].Subject(),
		Problem: Problem{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix},
	})
}

// CrossCheck returns the problems that involve more than one document: a
// subject or a route that occurs in two documents, accounts with the same name
// or key, and references to accounts that neither a document nor knownAccounts
// defines. When two documents conflict, the problem is reported for the later
// one in the list.
func CrossCheck(documents []Document, knownAccounts []string) []CrossProblem {
	c := &crossChecker{documents: documents}
	c.checkSubjects()
	c.checkRoutes()
	c.checkAccountReferences(c.checkAccounts(knownAccounts))
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Index < c.problems[j].Index })
	return c.problems
}

func (c *crossChecker) checkSubjects() {
	seen := make(map[string]int, len(c.documents))
	for i, d := range c.documents {
		if _, duplicate := seen[d.Subject()]; !duplicate {
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

func (c *crossChecker) checkRoutes() {
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

func (c *crossChecker) checkRoute(i, n int, r Route, owners map[RouteKey]string) {
	service := c.documents[i].Contract.Service
	for _, key := range r.Keys() {
		owner, exists := owners[key]
		if !exists {
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

// checkAccounts reports accounts that share a name or a key, and returns the
// names of all accounts.
func (c *crossChecker) checkAccounts(knownAccounts []string) map[string]bool {
	names := make(map[string]bool)
	keys := make(map[caller.KeyDigest]string)
	for i, d := range c.documents {
		if d.Accounts == nil {
			continue
		}
		for n, a := range d.Accounts.Accounts {
			field := "accounts[" + strconv.Itoa(n) + "]"
			if names[a.Name] {
				c.report(i, field+".name", "delete one of the two", "account %s is in two documents", a.Name)
				continue
			}
			for k, digest := range a.Keys {
				if owner, exists := keys[digest]; exists {
					c.report(i, keyField(n, k), "give each account its own key", "accounts %s and %s have one key", owner, a.Name)
				}
				keys[digest] = a.Name
			}
			names[a.Name] = true
		}
	}
	for _, name := range knownAccounts {
		names[name] = true
	}
	return names
}

// checkAccountReferences reports accounts of contracts that are not defined.
func (c *crossChecker) checkAccountReferences(defined map[string]bool) {
	for i, d := range c.documents {
		if d.Contract == nil {
			continue
		}
		for n, a := range d.Contract.Accounts {
			if !defined[a] {
				c.report(i, "accounts["+strconv.Itoa(n)+"]", "correct the name, or add the account to an accounts document",
					"account %s is not defined anywhere", a)
			}
		}
	}
}
