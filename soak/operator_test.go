package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
)

// The services, and the authority of all routes.
const (
	catalogue = "catalogue"
	checkout  = "checkout"
	authority = "shop.example"
)

// baseRoutes are the routes of the first configuration.
func baseRoutes() []discovery.Route {
	route := func(name, service string, idempotent bool, priority int) discovery.Route {
		return discovery.Route{
			Name: name, Authority: authority, Prefix: "/" + name + "/", Idempotent: idempotent, Priority: priority,
			Attempts: 2, Timeout: 1500 * time.Millisecond, Objective: 500 * time.Millisecond,
			Services: []discovery.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return []discovery.Route{
		route("read", catalogue, true, 2),
		route("write", catalogue, false, 1),
		route("order", checkout, false, 0),
	}
}

// limits are what callers may send.
var limits = discovery.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// configure writes the present routes as the next version.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += discovery.Version(1 + w.rng.IntN(3))
	v := version{number: w.version, routes: make(map[string]discovery.Route), sent: time.Now()}
	for _, r := range w.routes {
		v.routes[r.Name] = r
	}
	document, err := platformtest.EncodeConfiguration(w.version, w.routes, []string{catalogue, checkout}, limits)
	if err != nil {
		w.record.find("the soak cannot encode a configuration: %v", err)
		return
	}
	w.record.mu.Lock()
	w.record.versions = append(w.record.versions, v)
	w.record.mu.Unlock()
	w.store.Put(platformtest.TableOperator, platformtest.KeyConfiguration, document)
	w.record.mu.Lock()
	w.record.versions[len(w.record.versions)-1].acknowledged = time.Now()
	w.record.mu.Unlock()
}

// changeRoutes changes the routes and writes them.
func (w *world) changeRoutes(what string, change func([]discovery.Route) []discovery.Route) {
	w.mu.Lock()
	w.routes = change(slices.Clone(w.routes))
	w.mu.Unlock()
	w.configure()
	w.note("configuration: %s", what)
}

// The changes that an operator makes.
var routeChanges = map[string]func(*world, []discovery.Route) []discovery.Route{
	"move orders": func(_ *world, routes []discovery.Route) []discovery.Route {
		for i, r := range routes {
			if r.Name == "order" {
				other := catalogue
				if r.Services[0].Service == catalogue {
					other = checkout
				}
				routes[i].Services = []discovery.WeightedService{{Service: other, Weight: 1}}
			}
		}
		return routes
	},
	"split reads": func(w *world, routes []discovery.Route) []discovery.Route {
		for i, r := range routes {
			if r.Name == "read" {
				routes[i].Services = []discovery.WeightedService{{Service: catalogue, Weight: 90}, {Service: checkout, Weight: float64(5 + w.extras)}}
			}
		}
		return routes
	},
	"add a route": func(w *world, routes []discovery.Route) []discovery.Route {
		w.extras++
		r := baseRoutes()[0]
		r.Name = fmt.Sprintf("extra-%d", w.extras)
		r.Prefix = "/" + r.Name + "/"
		return append(routes, r)
	},
	"drop a route": func(_ *world, routes []discovery.Route) []discovery.Route {
		if last := len(routes) - 1; last >= len(baseRoutes()) {
			return routes[:last]
		}
		return routes
	},
	"change a timeout": func(_ *world, routes []discovery.Route) []discovery.Route {
		routes[0].Timeout = 3*time.Second - routes[0].Timeout + 200*time.Millisecond
		return routes
	},
}

// changeSomething makes a change drawn by chance.
func (w *world) changeSomething(n int) {
	names := slices.Sorted(maps.Keys(routeChanges))
	name := names[n%len(names)]
	w.changeRoutes(name, func(routes []discovery.Route) []discovery.Route { return routeChanges[name](w, routes) })
}

// route returns one of the present routes, or one that was dropped or never was.
func (w *world) route(n int) *discovery.Route {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.routes[n%len(w.routes)]
	return &r
}
