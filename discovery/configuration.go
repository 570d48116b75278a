// Package discovery holds what a fleet learns from a metadata store: the
// configuration that operators wrote and the targets that registered
// themselves. It does no I/O and knows no encoding.
package discovery

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Version orders configurations. Operators raise it in uneven steps.
type Version uint64

// Part is a service's share of the requests of a route.
type Part struct {
	Service string
	// Weight is relative to the other parts of the route.
	Weight float64
}

// Route says where requests go and how they may be treated. Source: the
// operator's configuration.
type Route struct {
	Name string
	// Authority is the Host header to match.
	Authority string
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string
	// Idempotent allows that a request runs more than once.
	Idempotent bool
	// Attempts is how many targets one request may be sent to.
	Attempts int
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Parts are the services that take the requests.
	Parts []Part
}

// Choose returns the service for one request, at random by the weights.
func (r *Route) Choose(rng *rand.Rand) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	at := rng.Float64() * total
	for _, p := range r.Parts {
		if at -= p.Weight; at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}

// Service is what operators declare of a service.
type Service struct {
	// HealthPath is the path of the targets' health endpoint.
	HealthPath string
	// Connections is how many connections a target accepts from all callers.
	Connections int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's head and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time for a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may carry no request.
	IdleTimeout time.Duration
}

// Configuration is what operators have put in force. It is immutable once built
// and safe for concurrent use.
type Configuration struct {
	Version  Version
	Services map[string]Service
	Limits   Limits

	// routes holds the routes by authority and prefix.
	routes map[string]map[string]*Route
	count  int
}

// NewConfiguration builds a configuration from its routes.
func NewConfiguration(v Version, routes []Route, services map[string]Service, limits Limits) *Configuration {
	c := &Configuration{
		Version:  v,
		Services: services,
		Limits:   limits,
		routes:   make(map[string]map[string]*Route),
		count:    len(routes),
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
	return c
}

// Len returns the number of routes.
func (c *Configuration) Len() int { return c.count }

// Find returns the route of an authority with the longest prefix of the path,
// or nil.
func (c *Configuration) Find(authority, path string) *Route {
	prefixes := c.routes[authority]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r
		}
	}
	return nil
}

// Repeatable reports whether a service gets requests that may be repeated.
func (c *Configuration) Repeatable(service string) bool {
	for _, prefixes := range c.routes {
		for _, r := range prefixes {
			if r.Idempotent && r.Attempts > 1 && r.uses(service) {
				return true
			}
		}
	}
	return false
}

func (r *Route) uses(service string) bool {
	for _, p := range r.Parts {
		if p.Service == service {
			return true
		}
	}
	return false
}
