// Package route finds the service for a request by authority, path and method.
package route

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/internal/urlpath"
)

// Match is a route and the service that it belongs to.
type Match struct {
	Service string
	Route   contract.Route
}

// node is a node of a trie over path segments.
type node struct {
	children map[string]*node
	// matches are the routes whose path ends at this node, in the order of the
	// contracts. They may differ in their methods.
	matches []Match
}

// Table finds the routes of requests. It is immutable once built and safe for concurrent
// use.
type Table struct {
	// authorities holds the trie of each authority. The trie of "" holds the routes
	// for any authority.
	authorities map[string]*node
	// routeCount is the number of routes in all tries.
	routeCount int
}

// NewTable builds the table of the routes of all contracts.
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
	for segment := range strings.SplitSeq(strings.Trim(urlpath.Canonical(m.Route.Path), "/"), "/") {
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
	t.routeCount++
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routeCount }

// Errors of Select.
var (
	ErrNoRoute       = errors.New("no service has a route for this request")
	ErrAmbiguousPath = errors.New("the path selects another route once it is normalized")
)

// Select returns the route for a path. It fails if a target that normalizes paths, or decodes them
// leniently, may take the path for one of another route: such a request could reach what its account
// may not use.
func (t *Table) Select(authority string, p urlpath.Path, method string) (Match, error) {
	m, ok := t.Find(authority, p.Canonical, method)
	if !ok {
		return Match{}, ErrNoRoute
	}
	for _, form := range []string{p.Normal, p.Lenient} {
		if other, ok := t.Find(authority, form, method); form != p.Canonical && (!ok || !m.same(other)) {
			return Match{}, ErrAmbiguousPath
		}
	}
	return m, nil
}

// same reports whether both are the same route.
func (m Match) same(other Match) bool {
	return m.Service == other.Service && m.Route.Authority == other.Route.Authority && m.Route.Path == other.Route.Path
}

// Find returns the route with the longest path prefix that allows the method. Routes of
// the authority take precedence over routes for any authority, whatever their prefix.
func (t *Table) Find(authority, path, method string) (Match, bool) {
	if m, ok := t.authorities[authority].find(path, method); ok {
		return m, true
	}
	return t.authorities[""].find(path, method)
}

// find returns the match with the longest path prefix that allows the method. A nil
// node has none.
func (n *node) find(path, method string) (best Match, found bool) {
	rest := strings.TrimPrefix(path, "/")
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

// match returns the first route at this node that allows the method.
func (n *node) match(method string) (Match, bool) {
	for _, m := range n.matches {
		if allows(m.Route.Methods, method) {
			return m, true
		}
	}
	return Match{}, false
}

// allows reports whether a route with the given methods takes the method. Without any
// methods it takes all.
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
