//go:build review

// The store is silent for some seconds and comes back; the operator then moves a route. The program
// asks how long the one machine goes on to send the route's requests to the old service.
package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/review/stand3"
)

// The bounds of the site's sheet, and the disruption: platform_down (silent) of at most 8 s.
const (
	configApply = 2500 * time.Millisecond
	stable      = 3 * time.Second
	minOutage   = 5500 * time.Millisecond
	maxOutage   = 8 * time.Second
	rounds      = 8
	watchUntil  = 5 * time.Second
	margin      = 50 * time.Millisecond
)

// silence makes the store answer no call while it is on. A call that came in that time is never answered.
type silence struct {
	next   http.Handler
	on     atomic.Bool
	mu     sync.Mutex
	latest time.Time // when the latest call came
}

func (s *silence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.on.Load() {
		s.mu.Lock()
		s.latest = time.Now()
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.next.ServeHTTP(w, r)
}

func (s *silence) sinceCall() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.latest)
}

func main() {
	r := stand3.NewRun()
	store := &silence{}
	d := r.NewDeployment(func(h http.Handler) http.Handler { store.next = h; return store })
	var mu sync.Mutex
	ranAt := make(map[string]string)
	services := []string{"checkout-svc", "catalogo-svc"}
	for _, service := range services {
		i := r.StartInstance(&stand3.Instance{ID: "i-" + service, Service: service, OnRun: func(id string, _ *http.Request, _ []byte) {
			mu.Lock()
			defer mu.Unlock()
			ranAt[id] = service
		}}, d.Host.IP)
		d.Register(discovery.Target{ID: i.ID, Born: time.Now().UnixMilli(), Service: service, Address: i.Address, Zone: "ar-centro-a", Slots: 4})
	}
	version := discovery.Version(1)
	configure := func() (service string, acknowledged time.Time) {
		version++
		service = services[int(version)%2]
		acknowledged = d.Configure(version, []discovery.Route{stand3.Route("pedido", "/pedido/", service, false)}, services, nil)
		r.Note("acknowledged: version %d, pedido goes to %s", version, service)
		return service, acknowledged
	}
	configure()
	d.StartHost(true)
	d.AwaitReady()
	time.Sleep(2 * time.Second)
	broken, old := 0, 0
	for round := range rounds {
		began := time.Now()
		if r.Trouble {
			store.on.Store(true)
			r.Note("round %d: the store is silent", round)
			for time.Since(began) < maxOutage && (time.Since(began) < minOutage || store.sinceCall() > 100*time.Millisecond) {
				time.Sleep(10 * time.Millisecond)
			}
			store.on.Store(false)
			r.Note("round %d: the store is back after %.2f s", round, time.Since(began).Seconds())
		} else {
			time.Sleep(minOutage)
		}
		back := time.Now()
		time.Sleep(100 * time.Millisecond)
		service, acknowledged := configure()
		// From here on the machine is in touch, and the version must be in force.
		from := acknowledged.Add(configApply)
		if inTouch := back.Add(stable); inTouch.After(from) {
			from = inTouch
		}
		time.Sleep(time.Until(from) + margin)
		oldHere := 0
		for time.Since(back) < watchUntil {
			id := stand3.NewID()
			sent := time.Now()
			status, _ := d.Send(stand3.Request("PUT", "/pedido/1", id, "", []byte("pallets=1")))
			mu.Lock()
			at := ranAt[id]
			mu.Unlock()
			r.Note("request %s sent %.3f s after the acknowledgement, %.3f s after the store's return: %d, run at %q", id, sent.Sub(acknowledged).Seconds(), sent.Sub(back).Seconds(), status, at)
			if at != "" && at != service {
				oldHere++
			}
			time.Sleep(100 * time.Millisecond)
		}
		old += oldHere
		if oldHere > 0 {
			broken++
		}
	}
	if broken > 0 {
		r.End(stand3.Broken, "in %d of %d rounds, %d requests ran at the service that only the older version allows", broken, rounds, old)
	}
	r.End(stand3.Held, "%d rounds", rounds)
}
