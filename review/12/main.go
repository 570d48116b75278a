//go:build review

// The one machine is cut off from the store. Meanwhile an instance leaves: its entry is removed, and it
// serves on for some seconds. The program asks whether the machine sends it requests when it is in touch
// again.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/review/stand3"
)

const (
	drain     = 2500 * time.Millisecond
	stable    = 3 * time.Second
	margin    = 50 * time.Millisecond
	instances = 6
	calm      = 2500 * time.Millisecond
	cut       = 5500 * time.Millisecond // core_cut, for_s
	leaveAt   = 4500 * time.Millisecond // after the beginning of the cut
	rounds    = 8
	requests  = 24 // at once: as many as the instances have slots
	work      = 100 * time.Millisecond
)

// instance is an instance with what has become of it.
type instance struct {
	*stand3.Instance
	stop func()
	mu   sync.Mutex
	// removedAt is when the store acknowledged the removal of the entry.
	removedAt time.Time
}

func (i *instance) removed() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.removedAt
}

func main() {
	r := stand3.NewRun()
	d := r.NewDeployment(nil)
	var mu sync.Mutex
	ranAt := make(map[string]*instance)
	started := 0
	start := func() *instance {
		started++
		i := &instance{}
		i.Instance = r.StartInstance(&stand3.Instance{
			ID: fmt.Sprintf("i-%d", started), Service: "catalogo-svc",
			OnRun: func(id string, _ *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				ranAt[id] = i
			},
			Answer: func(c net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
				time.Sleep(work)
				leaving := ""
				if !i.removed().IsZero() {
					leaving = "Server-Leaving: 1\r\n"
				}
				id := q.Header.Get("X-Crocushinge-Request-Id")
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Response-Signature: s.%s\r\n%sContent-Length: 3\r\n\r\nok\n", id, id, leaving)
				return err == nil
			}}, d.Host.IP)
		i.stop = d.Register(discovery.Target{ID: i.ID, Born: time.Now().UnixMilli(), Service: i.Service, Address: i.Address, Zone: "ar-centro-a", Slots: 4})
		return i
	}
	var list []*instance
	for range instances {
		list = append(list, start())
	}
	d.Configure(1, []discovery.Route{stand3.Route("reposicion", "/reposicion/", "catalogo-svc", false)}, []string{"catalogo-svc"}, nil)
	d.StartHost(true)
	d.AwaitReady()
	broken, late := 0, 0
	for round := range rounds {
		time.Sleep(calm)
		began := time.Now()
		if r.Trouble {
			d.RefuseStore()
			r.Note("round %d: the machine is cut off from the store", round)
		}
		time.Sleep(time.Until(began.Add(leaveAt)))
		n := rand.IntN(len(list))
		gone := list[n]
		gone.stop()
		d.Store.Put(platformtest.TableTargets, gone.ID, nil)
		gone.mu.Lock()
		gone.removedAt = time.Now()
		gone.mu.Unlock()
		removed := gone.removed()
		r.Note("round %d: acknowledged: the entry of %s is removed", round, gone.ID)
		time.Sleep(time.Until(began.Add(cut)))
		if r.Trouble {
			d.AcceptStore()
		}
		back := time.Now()
		r.Note("round %d: the cut has healed", round)
		from := back.Add(stable)
		if bound := removed.Add(drain); bound.After(from) {
			from = bound
		}
		time.Sleep(time.Until(from) + margin)
		lateHere := 0
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				id := stand3.NewID()
				sent := time.Now()
				status, _ := d.Send(stand3.Request("POST", "/reposicion/1", id, "", []byte("sheets=1")))
				mu.Lock()
				defer mu.Unlock()
				if at := ranAt[id]; at != nil && !at.removed().IsZero() && sent.Sub(at.removed()) > drain {
					lateHere++
					r.Note("request %s, sent %.3f s after the cut has healed, reached %s, whose entry was removed %.3f s before; answered %d", id, sent.Sub(back).Seconds(), at.ID, sent.Sub(at.removed()).Seconds(), status)
				}
			})
		}
		all.Wait()
		r.Note("round %d: %d requests sent, %d reached an instance that was gone", round, requests, lateHere)
		late += lateHere
		if lateHere > 0 {
			broken++
		}
		list[n] = start()
	}
	if broken > 0 {
		r.End(stand3.Broken, "in %d of %d rounds, %d requests reached an instance more than 2.5 s after its entry was removed", broken, rounds, late)
	}
	r.End(stand3.Held, "%d rounds", rounds)
}
