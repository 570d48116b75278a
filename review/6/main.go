//go:build review

// Command case6 stops a host by SIGTERM while requests wait at it for a free slot.
package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/review/lab2"
)

// The routes follow "note-read" of the sheet: an aim of 10 s, a deadline of 20 s and a timeout of
// 10 s. Half of the requests may run only once. The targets have 6 slots and work for 620 ms, as
// those of "plans". 100 clients with one request each are more than the 12 slots serve at once, and
// fewer than a queue of the length that the aim allows.
const (
	service   = "notes"
	authority = "hulo84.example"
	slots     = 6
	targets   = 2
	hosts     = 3
	clients   = 100
	work      = 620 * time.Millisecond
	aim       = 10 * time.Second
	timeout   = 10 * time.Second
	deadline  = 20 * time.Second
	// lossSlack is the bound loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	warmUp    = 12 * time.Second
)

// ending is how a request ended for its client.
type ending struct {
	id, kind, host string
	sent, ended    time.Time
	status         int
	err            error
}

type run struct {
	lab *lab2.Lab
	mu  sync.Mutex
	all []ending
}

func main() { os.Exit(play()) }

func play() int {
	l, err := lab2.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return lab2.NotRun
	}
	defer l.Close()
	if err := deploy(l); err != nil {
		l.Note("%v", err)
		fmt.Println(err)
		return lab2.NotRun
	}
	r := &run{lab: l}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { r.client(ctx, i) })
	}
	time.Sleep(warmUp)
	victim := l.Hosts[1]
	asked := time.Now()
	if lab2.Trouble() {
		asked = victim.Signal(syscall.SIGTERM)
	}
	time.Sleep(lab2.Bounds.Grace + 2*time.Second)
	cancel()
	group.Wait()
	return r.judge(victim, asked)
}

func deploy(l *lab2.Lab) error {
	for i := range targets {
		if _, err := l.StartTarget(i, service, slots, platformtest.TargetBehavior{MeanDuration: work}); err != nil {
			return err
		}
	}
	route := func(name, prefix string, idempotent bool) discovery.Route {
		return discovery.Route{
			Name: name, Authority: authority, Prefix: prefix, Idempotent: idempotent, Attempts: 2, Priority: 2,
			Timeout: timeout, Objective: aim, Services: []discovery.WeightedService{{Service: service, Weight: 1}},
		}
	}
	routes := []discovery.Route{route("note-read", "/leny950/", true), route("note-add", "/puka111/", false)}
	if err := l.Configure(0xc, routes, []string{service}); err != nil {
		return err
	}
	contracts := []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "pressure", "platform"}
	return l.StartHosts(hosts, contracts)
}

// client sends one request after the other on kept connections, as the pages say: it asks the
// directory for addresses, keeps the response for its TTL (every third client three times as long),
// and stops using an address that a new response lacks.
func (r *run) client(ctx context.Context, index int) {
	keep := time.Duration(1)
	if index%3 == 0 {
		keep = 3
	}
	var addresses []string
	var until time.Time
	var conn net.Conn
	var reader *bufio.Reader
	host := ""
	drop := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn, host = nil, ""
	}
	defer drop()
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(until) {
			if got, ttl, ok := r.resolve(); ok {
				addresses, until = got, time.Now().Add(keep*ttl)
			}
			if !slices.Contains(addresses, host) {
				drop()
			}
		}
		if conn == nil {
			if len(addresses) == 0 {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			host = addresses[rand.IntN(len(addresses))]
			c, err := net.DialTimeout("tcp4", host, time.Second)
			if err != nil {
				addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == host })
				host = ""
				continue
			}
			conn, reader = c, bufio.NewReader(c)
		}
		req := platformtest.Request{ID: fmt.Sprintf("%02x%06x%08x", index, n, rand.Uint32()), Authority: authority, Timeout: deadline}
		kind := "idempotent"
		if index%2 == 0 {
			req.Method, req.Path = "GET", "/leny950/2f"
		} else {
			req.Method, req.Path, req.Body, kind = "POST", "/puka111/2f", "a note", "non_idempotent"
		}
		e := ending{id: req.ID, kind: kind, host: host}
		_, e.err = conn.Write(req.Bytes())
		e.sent = time.Now()
		var resp platformtest.Response
		if e.err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(deadline))
			resp, e.err = platformtest.ReadResponse(reader, req)
			e.status = resp.Status
		}
		e.ended = time.Now()
		r.lab.Note("%s %s to %s sent %.3f: status %d, %v", kind, e.id, host, r.lab.At(e.sent), e.status, e.err)
		r.mu.Lock()
		r.all = append(r.all, e)
		r.mu.Unlock()
		if e.err != nil || resp.Close {
			drop()
		}
		if e.status != 200 {
			time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
		}
	}
}

func (r *run) resolve() ([]string, time.Duration, bool) {
	for _, i := range rand.Perm(len(r.lab.Hosts)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		got, ttl, err := platformtest.Resolve(ctx, r.lab.Hosts[i].DirectoryAddress(), authority, "qld-a", "au-qld")
		cancel()
		if err == nil && len(got) > 0 {
			return got, ttl, true
		}
	}
	return nil, 0, false
}

// judge counts the requests that the host had from its clients when it was stopped or later, whose
// connection ended without an answer later than lossSlack after their last byte, within the grace
// period and a second, before the deadline and the route's timeout, and which no target ever got.
func (r *run) judge(victim *lab2.Host, asked time.Time) int {
	lost, lostOnce, served := 0, 0, 0
	for _, e := range r.all {
		if e.status == 200 {
			served++
		}
		if e.host != victim.Address() || e.err == nil || e.ended.Before(asked) || e.ended.After(asked.Add(lab2.Bounds.Grace+time.Second)) {
			continue
		}
		if took := e.ended.Sub(e.sent); took <= lossSlack || took >= timeout || len(r.lab.Arrivals(e.id)) > 0 {
			continue
		}
		lost++
		if e.kind == "non_idempotent" {
			lostOnce++
		}
		r.lab.Note("LOST: %s %s, sent %.3f s after SIGTERM, connection ended %.3f s after SIGTERM: %v",
			e.kind, e.id, e.sent.Sub(asked).Seconds(), e.ended.Sub(asked).Seconds(), e.err)
	}
	r.lab.Note("%d requests, %d served, %d lost at %s (%d of them may run only once)", len(r.all), served, lost, victim.Name, lostOnce)
	fmt.Printf("%d requests, %d served, %d lost at the host that was stopped (%d of them may run only once)\n", len(r.all), served, lost, lostOnce)
	if served == 0 {
		return lab2.NotRun
	}
	if lost > 0 {
		return lab2.Broken
	}
	return lab2.Held
}
