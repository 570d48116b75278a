//go:build review

// Case 1: a host is stopped with SIGTERM while clients keep a further request in flight behind the
// one that is being served.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/review/harness"
)

const (
	clients = 6
	// answerBytes is the largest answer of the class catalogo in the site file.
	answerBytes = 30000
	// receiveBuffer gives a connection a window of about 12 KB, less than the ten segments that a
	// sender may have unacknowledged at first on a real network.
	receiveBuffer = 8 << 10
	work          = 400 * time.Millisecond
	// think is the time after which a client sends a further request.
	think = 60 * time.Millisecond
	// stopAfter is when SIGTERM comes, while the first requests run.
	stopAfter = 200 * time.Millisecond
	requests  = 3
	timeout   = 2 * time.Second
)

func main() { harness.Main(run) }

func run(c *harness.Case) error {
	var servers []*harness.Server
	for i := range 3 {
		s, err := c.StartServer(fmt.Sprintf("i-%d", i), "catalogue", "127.0.0.1:0", i, func(*http.Request, string) harness.Answer {
			return harness.Answer{Status: http.StatusOK, Body: strings.Repeat("x", answerBytes), Work: work}
		})
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := c.Configure(12, []discovery.Route{{
		Name: "lookups", Authority: harness.Authority, Prefix: "/lookups/", Idempotent: true, Attempts: 2,
		Timeout: timeout, Objective: 800 * time.Millisecond, Priority: 2,
		Services: []discovery.WeightedService{{Service: "catalogue", Weight: 1}},
	}}, "catalogue"); err != nil {
		return err
	}
	if err := c.StartHosts(3, nil); err != nil {
		return err
	}
	// No disruption for stable_ms before the first request.
	time.Sleep(3500 * time.Millisecond)
	list := make([]client, clients)
	var wg sync.WaitGroup
	for n := range list {
		list[n] = client{name: fmt.Sprintf("client-%d", n), c: c, address: c.Hosts[0].Address(harness.Ports.Callers)}
		wg.Go(list[n].run)
	}
	time.Sleep(stopAfter)
	if c.Trouble {
		c.Hosts[0].Signal(syscall.SIGTERM)
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, s := range servers {
		for _, r := range s.Runs() {
			ran[r.Request] = true
		}
	}
	for _, cl := range list {
		if cl.failed == nil {
			continue
		}
		if id := cl.id(cl.answered + 1); ran[id] && cl.failedAfter < timeout {
			c.Broken("LOST: %s was passed on to a server, and its connection ended without a complete answer: %v", id, cl.failed)
		}
	}
	return nil
}

// client sends idempotent requests on one connection, each before the answer to the last one is
// there, and reads the answers as fast as they come.
type client struct {
	name, address string
	c             *harness.Case
	// answered is how many complete answers came.
	answered int
	// failed is the error that ended the connection, if it did not end after a complete answer, and
	// failedAfter the time since the last answer or the first request.
	failed      error
	failedAfter time.Duration
}

func (cl *client) id(n int) string { return fmt.Sprintf("%s-%d", cl.name, n) }

func (cl *client) send(conn net.Conn, n int) {
	id := cl.id(n)
	_, err := fmt.Fprintf(conn, "GET /lookups/%s HTTP/1.1\r\nHost: %s\r\nX-Crocushinge-Request-Id: %s\r\nX-Crocushinge-Deadline-Ms: 4000\r\n\r\n", id, harness.Authority, id)
	cl.c.Note("%s sent (%v)", id, err)
}

func (cl *client) run() {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp4", cl.address)
	if err != nil {
		cl.c.Note("%s cannot connect: %v", cl.name, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	cl.send(conn, 1)
	for n := 1; n <= requests; n++ {
		began := time.Now()
		if n < requests {
			time.Sleep(think)
			cl.send(conn, n+1)
		}
		closes, err := cl.read(in, n)
		if err != nil {
			cl.failed, cl.failedAfter = err, time.Since(began)
			return
		}
		cl.answered = n
		if closes {
			return
		}
	}
}

// read reads the answer to a request, and reports whether it closes the connection.
func (cl *client) read(in *bufio.Reader, n int) (closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		cl.c.Note("%s: no answer: %v", cl.id(n), err)
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	cl.c.Note("%s: answer %d, %d of %d bytes, Connection: close %t, %v", cl.id(n), resp.StatusCode, len(body), resp.ContentLength, resp.Close, err)
	return resp.Close, err
}
