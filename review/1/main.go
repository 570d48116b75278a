//go:build review

// Case 1: faulty servers run orders and send an error text of an HTTP/2 library in place of the
// answers. The orders run again at other servers.
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

// errorText is the name of an error code of HTTP/2, and no HTTP/1.1 response.
const errorText = "REFUSED_STREAM\r\n"

func main() { harness.Main(run) }

func run(c *harness.Case) error {
	var faulty atomic.Bool
	var list []*harness.Server
	for i := range servers {
		s, err := c.StartServer(fmt.Sprintf("i-%d", i), "checkout", "127.0.0.1:0", i, func(*http.Request, string) harness.Answer {
			a := harness.Answer{Status: http.StatusOK, Body: "ordered\n", Work: work}
			if i < faultyServers && faulty.Load() && rand.Float64() < faultyAnswers {
				a.Raw = errorText
			}
			return a
		})
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	if err := c.Configure(12, []discovery.Route{{
		Name: "orders", Authority: harness.Authority, Prefix: "/orders/", Attempts: 2,
		Timeout: timeout, Objective: 800 * time.Millisecond, Priority: 0,
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
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { client(c, n, end) })
	}
	time.Sleep(time.Until(end))
	faulty.Store(false)
	wg.Wait()
	runs := make(map[string]int)
	for _, s := range list {
		for _, r := range s.Runs() {
			runs[r.Request]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			c.Broken("TWICE: %s ran %d times", id, n)
		}
	}
	return nil
}

// client sends orders one after the other until the given time.
func client(c *harness.Case, n int, end time.Time) {
	host := c.Hosts[n%len(c.Hosts)]
	var conn net.Conn
	var in *bufio.Reader
	for k := 1; time.Now().Before(end); k++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", host.Address(harness.Ports.Callers), time.Second); err != nil {
				return
			}
			in = bufio.NewReader(conn)
		}
		r := harness.Request{ID: fmt.Sprintf("order-%d-%d", n, k), Method: http.MethodPut, Path: fmt.Sprintf("/orders/%d/%d", n, k), Body: "10 pallets", Deadline: deadline}
		result := c.Exchange(conn, in, r)
		if result.Err != nil || result.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
	return
}
