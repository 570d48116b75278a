// Package discovery holds what a fleet reads from the metadata store: the
// configuration that operators wrote and the targets that registered
// themselves. It does no I/O and depends on no encoding.
package discovery

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/internal/urlpath"
)

// Version orders configurations. Successive versions need not be consecutive.
type Version uint64

// WeightedService is a service that gets a share of the requests of a route.
type WeightedService struct {
	Service string
	// Weight is the share, relative to the weights of the route's other services.
	Weight float64
}

// Route says which requests it matches, which services they go to and how they may
// be retried. It comes from the operators' configuration.
type Route struct {
	Name string
	// Authority is the Host header that requests must have.
	Authority string
	// Prefix is the prefix that paths must have. It begins and ends with a slash.
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Attempts is the maximum number of targets that one request is sent to.
	Attempts int
	// Timeout limits the time from a request's arrival to its response.
	Timeout time.Duration
	// Objective is the latency up to which a response has its full value.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Services are the services that get the requests.
	Services []WeightedService
	// Public is set when a request needs no key, although the configuration has accounts.
	Public bool
}

// Choose returns the service for one request, at random according to the weights.
func (r *Route) Choose(rng *rand.Rand) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, p := range r.Services {
		total += p.Weight
	}
	point := rng.Float64() * total
	for _, p := range r.Services {
		if point -= p.Weight; point < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// ServiceSettings holds the settings that operators declare for a service.
type ServiceSettings struct {
	// HealthPath is the path of the targets' health endpoint.
	HealthPath string
	// Connections is how many connections a target accepts in total.
	Connections int
}

// Limits are the limits on the requests and connections of a caller.
type Limits struct {
	// HeaderBytes and BodyBytes limit the sizes of a request's head and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time within which a request's head must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Configuration is one version of the operators' configuration. It is immutable once
// built and safe for concurrent use.
type Configuration struct {
	Version  Version
	Services map[string]ServiceSettings
	Limits   Limits
	// Accounts are the client accounts; nil if the configuration has none. Requests then need
	// no key.
	Accounts *caller.Accounts

	// routes holds the routes by authority, then by prefix.
	routes     map[string]map[string]*Route
	routeCount int
}

// NewConfiguration builds a configuration from its routes.
func NewConfiguration(v Version, routes []Route, services map[string]ServiceSettings, limits Limits) *Configuration {
	c := &Configuration{
		Version:    v,
		Services:   services,
		Limits:     limits,
		routes:     make(map[string]map[string]*Route),
		routeCount: len(routes),
	}
	for i := range routes {
		r := &routes[i]
		prefixes, ok := c.routes[r.Authority]
		if !ok {
			prefixes = make(map[string]*Route)
			c.routes[r.Authority] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	for _, prefixes := range c.routes {
		for _, prefix := range slices.Sorted(maps.Keys(prefixes)) {
			if canonical := urlpath.Canonical(prefix); prefixes[canonical] == nil {
				prefixes[canonical] = prefixes[prefix]
			}
		}
	}
	return c
}

// Len returns the number of routes.
func (c *Configuration) Len() int { return c.routeCount }

// Find returns the authority's route with the longest prefix of the path, or nil.
func (c *Configuration) Find(authority, path string) *Route {
	prefixes := c.routes[authority]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// ErrAmbiguousPath means that a host and those who normalize a path select different routes by it.
var ErrAmbiguousPath = errors.New("the path selects another route once it is normalized")

// Select returns the authority's route for a path, or nil. The path as it was sent selects the route:
// so it is forwarded. A prefix also begins a path that differs in nothing but percent-encoding that
// changes nothing.
func (c *Configuration) Select(authority string, p urlpath.Path) (*Route, error) {
	r := c.Find(authority, p.Sent)
	if r == nil {
		r = c.Find(authority, p.Canonical)
	}
	if r != nil && c.Find(authority, p.Normal) != r {
		return nil, ErrAmbiguousPath
	}
	return r, nil
}

// NeedsKey reports whether a request needs the key of an account: because of its route, or because a
// lenient target may take its path for one of a route that needs a key.
func (c *Configuration) NeedsKey(r *Route, p urlpath.Path) bool {
	if c.Accounts == nil || !r.Public {
		return c.Accounts != nil
	}
	other := c.Find(r.Authority, p.Lenient)
	return other != nil && !other.Public
}

// HasRetryableRoute reports whether a route sends a service requests that may be
// retried.
func (c *Configuration) HasRetryableRoute(service string) bool {
	for _, prefixes := range c.routes {
		for _, r := range prefixes {
			if r.Idempotent && r.Attempts > 1 && r.routesTo(service) {
				return true
			}
		}
	}
	return false
}

func (r *Route) routesTo(service string) bool {
	for _, p := range r.Services {
		if p.Service == service {
			return true
		}
	}
	return false
}
