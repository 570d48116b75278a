//go:build review

// Case 3: faulty servers send a page of another program, in place of an answer or as additional bytes
// after one. Clients get it as the success of their requests.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/review/harness"
)

const (
	servers = 6
	// The disruption: half of the servers spoil 3 in 100 answers for 5 s.
	faultyServers = 3
	faultyAnswers = 0.03
	faultyFor     = 5 * time.Second

	clients  = 30
	work     = 60 * time.Millisecond
	timeout  = 2500 * time.Millisecond
	deadline = 5 * time.Second
)

// page bears neither the id of a request nor a signature.
const page = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 18\r\n\r\n<h1>It works!</h1>"

func main() { harness.Main(run) }

func run(c *harness.Case) error {
	var faulty atomic.Bool
	for i := range servers {
		_, err := c.StartServer(fmt.Sprintf("i-%d", i), "checkout", "127.0.0.1:0", i, func(*http.Request, string) harness.Answer {
			a := harness.Answer{Status: http.StatusOK, Body: "ordered\n", Work: work}
			if i < faultyServers && faulty.Load() && rand.Float64() < faultyAnswers {
				if rand.IntN(2) == 0 {
					a.Raw = page
				} else {
					a.Extra = page
				}
			}
			return a
		})
		if err != nil {
			return err
		}
	}
	if err := c.Configure(12, []discovery.Route{{
		Name: "orders", Authority: harness.Authority, Prefix: "/orders/", Attempts: 2,
		Timeout: timeout, Objective: 800 * time.Millisecond, Priority: 0,
		Services: []discovery.WeightedService{{Service: "checkout", Weight: 1}},
	}, {
		Name: "lookups", Authority: harness.Authority, Prefix: "/lookups/", Idempotent: true, Attempts: 2,
		Timeout: timeout, Objective: 800 * time.Millisecond, Priority: 2,
		Services: []discovery.WeightedService{{Service: "checkout", Weight: 1}},
	}}, "checkout"); err != nil {
		return err
	}
	if err := c.StartHosts(3, nil); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	faulty.Store(c.Trouble)
	end := time.Now().Add(faultyFor)
	results := make([][]harness.Result, clients)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { results[n] = client(c, n, end) })
	}
	time.Sleep(time.Until(end))
	faulty.Store(false)
	wg.Wait()
	for _, r := range results {
		for _, result := range r {
			if result.Status >= 200 && result.Status < 300 && result.Signature == "" {
				c.Broken("MIXED: %s was answered %d without a signature, with %q", result.ID, result.Status, result.Body)
			}
		}
	}
	return nil
}

// client sends orders and lookups one after the other until the given time.
func client(c *harness.Case, n int, end time.Time) (results []harness.Result) {
	host := c.Hosts[n%len(c.Hosts)]
	var conn net.Conn
	var in *bufio.Reader
	for k := 1; time.Now().Before(end); k++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", host.Address(harness.Ports.Callers), time.Second); err != nil {
				return results
			}
			in = bufio.NewReader(conn)
		}
		r := harness.Request{ID: fmt.Sprintf("order-%d-%d", n, k), Method: http.MethodPut, Path: fmt.Sprintf("/orders/%d/%d", n, k), Body: "10 pallets", Deadline: deadline}
		if k%2 == 0 {
			r = harness.Request{ID: fmt.Sprintf("lookup-%d-%d", n, k), Method: http.MethodGet, Path: fmt.Sprintf("/lookups/%d/%d", n, k), Deadline: deadline}
		}
		result := c.Exchange(conn, in, r)
		results = append(results, result)
		if result.Err != nil || result.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
	return results
}
