// Package route finds the service for a request by authority, path and method.
package route

import (
	"strings"

	"github.com/crocushinge/crocushinge/contract"
)

// Match is the route of a request, with the service it leads to.
type Match struct {
	Service string
	Route   contract.Route
}

// node is a node of a trie over path segments.
type node struct {
	children map[string]*node
	matches  []Match
}

// Table finds routes. It is immutable once built and safe for concurrent use.
type Table struct {
	// authorities holds one trie for each authority; "" matches any.
	authorities map[string]*node
	routes      int
}

// NewTable builds the table of all routes of the contracts.
func NewTable(contracts []*contract.Contract) *Table {
	t := &Table{authorities: make(map[string]*node)}
	for _, c := range contracts {
		for _, r := range c.Routes {
			t.add(Match{Service: c.Service, Route: r})
		}
	}
	return t
}

func (t *Table) add(m Match) {
	n, ok := t.authorities[m.Route.Authority]
	if !ok {
		n = &node{}
		t.authorities[m.Route.Authority] = n
	}
	for segment := range strings.SplitSeq(strings.Trim(m.Route.Path, "/"), "/") {
		if segment == "" {
			continue
		}
		child, ok := n.children[segment]
		if !ok {
			child = &node{}
			if n.children == nil {
				n.children = make(map[string]*node)
			}
			n.children[segment] = child
		}
		n = child
	}
	n.matches = append(n.matches, m)
	t.routes++
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Find returns the route with the longest path prefix, first among those of
// the authority, then among those of any authority.
func (t *Table) Find(authority, path, method string) (Match, bool) {
	if m, ok := t.authorities[authority].find(path, method); ok {
		return m, true
	}
	return t.authorities[""].find(path, method)
}

func (n *node) find(path, method string) (best Match, found bool) {
	rest := strings.Trim(path, "/")
	for n != nil {
		if m, ok := n.match(method); ok {
			best, found = m, true
		}
		if rest == "" {
			return best, found
		}
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		n = n.children[segment]
	}
	return best, found
}

func (n *node) match(method string) (Match, bool) {
	for _, m := range n.matches {
		if allows(m.Route.Methods, method) {
			return m, true
		}
	}
	return Match{}, false
}

func allows(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}
