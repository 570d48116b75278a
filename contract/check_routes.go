package contract

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// methods are the methods that a route may name (RFC 9110, 9.3, and RFC 5789).
var methods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"}

func (c *Contract) checkRoutes(f *faults) {
	if len(c.Routes) == 0 {
		f.report("routes", "declare at least one route", "routes is missing or empty")
	}
	seen := make(map[RouteKey]int)
	for i, r := range c.Routes {
		field := "routes[" + strconv.Itoa(i) + "]"
		f.path(field+".path", r.Path)
		f.authority(field+".authority", r.Authority)
		f.methods(field+".methods", r.Methods)
		f.between(field+".deadline", r.Deadline, time.Millisecond, maxDeadline)
		for _, key := range r.Keys() {
			if first, twice := seen[key]; twice && first != i {
				f.report(field+".path", "delete one or tell them apart by path or method",
					"route %s is declared twice, first as number %d", key, first+1)
				break
			}
			seen[key] = i
		}
	}
}

func (f *faults) path(field, value string) {
	if value == "" {
		f.report(field, "add a line such as: path: /catalogue", "%s is missing", field)
		return
	}
	fix := "write whole segments such as /catalogue/prices, without a query"
	if !strings.HasPrefix(value, "/") || strings.ContainsAny(value, "?# \t") || strings.Contains(value, "//") {
		f.report(field, fix, "%s %q is not a path prefix", field, value)
		return
	}
	for segment := range strings.SplitSeq(value, "/") {
		if segment == "." || segment == ".." {
			f.report(field, fix, "%s %q holds the segment %q", field, value, segment)
		}
	}
}

func (f *faults) authority(field, value string) {
	if strings.Contains(value, "/") || strings.ContainsAny(value, " \t@") {
		f.report(field, "write the Host header alone, for example shop.example.com", "%s %q is not an authority", field, value)
	}
	if value != strings.ToLower(value) {
		f.report(field, "write it in lower case", "%s %q holds capital letters", field, value)
	}
}

func (f *faults) methods(field string, list []string) {
	for i, m := range list {
		if slices.Contains(methods, m) {
			continue
		}
		fix := "write one of " + strings.Join(methods, ", ")
		if upper := strings.ToUpper(m); slices.Contains(methods, upper) {
			fix = "write it in capitals: " + upper
		}
		f.report(field+"["+strconv.Itoa(i)+"]", fix, "method %q is not known", m)
	}
}

// RouteKey is what tells two routes apart: no two services may have the same.
type RouteKey struct {
	Authority string
	Path      string
	// Method is "" when the route matches every method.
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

// Keys returns the keys of the route, one for each of its methods.
func (r Route) Keys() []RouteKey {
	key := RouteKey{Authority: r.Authority, Path: "/" + strings.Trim(r.Path, "/")}
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
