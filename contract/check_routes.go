package contract

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/internal/urlpath"
)

// knownMethods are the methods that a route may list (RFC 9110, section 9.3,
// and RFC 5789).
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"}

func (c *Contract) checkRoutes(p *problems) {
	if len(c.Routes) == 0 {
		p.report("routes", "declare at least one route", "routes is missing or empty")
	}
	seen := make(map[RouteKey]int)
	for i, r := range c.Routes {
		field := "routes[" + strconv.Itoa(i) + "]"
		p.checkPath(field+".path", r.Path)
		p.checkAuthority(field+".authority", r.Authority)
		p.checkMethods(field+".methods", r.Methods)
		p.checkDuration(field+".deadline", r.Deadline, time.Millisecond, maxDeadline)
		for _, key := range r.Keys() {
			if first, duplicate := seen[key]; duplicate && first != i {
				p.report(field+".path", "delete one, or give them different paths or methods",
					"route %s is declared twice, first as number %d", key, first+1)
				break
			}
			seen[key] = i
		}
	}
}

func (p *problems) checkPath(field, value string) {
	if value == "" {
		p.report(field, "add a line such as: path: /catalogue", "%s is missing", field)
		return
	}
	fix := "write whole segments such as /catalogue/prices, without a query"
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, "?# \t") || strings.Contains(value, "//") {
		p.report(field, fix, "%s %q is not a path prefix", field, value)
		return
	}
	for segment := range strings.SplitSeq(urlpath.Canonical(value), "/") {
		if segment == "." || segment == ".." {
			p.report(field, fix, "%s %q contains the segment %q", field, value, segment)
		}
	}
}

func (p *problems) checkAuthority(field, value string) {
	if strings.Contains(value, "/") || strings.ContainsAny(value, " \t@") {
		p.report(field, "write the Host header alone, for example shop.example.com", "%s %q is not an authority", field, value)
	}
	if value != strings.ToLower(value) {
		p.report(field, "write it in lower case", "%s %q contains capital letters", field, value)
	}
}

func (p *problems) checkMethods(field string, list []string) {
	for i, m := range list {
		if slices.Contains(knownMethods, m) {
			continue
		}
		fix := "write one of " + strings.Join(knownMethods, ", ")
		if upper := strings.ToUpper(m); slices.Contains(knownMethods, upper) {
			fix = "write it in capitals: " + upper
		}
		p.report(field+"["+strconv.Itoa(i)+"]", fix, "method %q is not known", m)
	}
}

// RouteKey identifies a route for one method. No two contracts may have the
// same key.
type RouteKey struct {
	Authority string
	Path      string
	// Method is empty when the route matches every method.
	Method string
}

// String formats the key as "GET shop.example.com/catalogue".
func (k RouteKey) String() string {
	method := k.Method
	if method == "" {
		method = "any method"
	}
	return method + " " + k.Authority + k.Path
}

// Keys returns the keys of the route, one for each of its methods. Slashes at
// the start and the end of the path are ignored.
func (r Route) Keys() []RouteKey {
	key := RouteKey{Authority: r.Authority, Path: "/" + strings.Trim(urlpath.Canonical(r.Path), "/")}
	if len(r.Methods) == 0 {
		return []RouteKey{key}
	}
	keys := make([]RouteKey, 0, len(r.Methods))
	for _, m := range r.Methods {
		key.Method = m
		keys = append(keys, key)
	}
	return keys
}
