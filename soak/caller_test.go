package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/zone"
)

// caller sends requests one after the other, mostly on kept connections.
type caller struct {
	world *world
	name  string
	zone  zone.Zone
	rng   *rand.Rand
	// pause is the mean time between two requests.
	pause time.Duration

	addresses  []string
	resolvedAt time.Time
	// keep is how long the addresses are kept: what the directory says, or
	// three times that.
	keep time.Duration
	conn *connection
	sent int
}

// connection is a caller's connection to a host.
type connection struct {
	net.Conn
	in       *bufio.Reader
	host     *host
	requests int
}

// Times of a caller.
const (
	resolveTimeout = time.Second
	connectTimeout = time.Second
	patience       = 2 * time.Second
)

// keptShare is the share of requests that go on the connection of the one before.
const keptShare = 0.85

func (c *caller) run(ctx context.Context) {
	for wait.For(ctx, time.Duration(c.rng.ExpFloat64()*float64(c.pause))) {
		c.resolve(ctx)
		if c.conn == nil || c.rng.Float64() > keptShare {
			c.drop()
			c.connect(ctx)
		}
		if c.conn == nil {
			continue
		}
		if c.rng.IntN(20) == 0 {
			c.pipeline()
			continue
		}
		c.request(c.rng.IntN(50) == 0)
	}
	c.drop()
}

// drop closes the connection.
func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// resolve asks the hosts of the deployment for addresses, and leaves a connection
// whose address is in the answer no more.
func (c *caller) resolve(ctx context.Context) {
	if time.Since(c.resolvedAt) < c.keep {
		return
	}
	for range 3 {
		h := c.world.hosts[c.rng.IntN(len(c.world.hosts))]
		ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
		addresses, ttl, err := platformtest.Resolve(ctx, h.address(ports.Directory), authority, string(c.zone.ID), c.zone.Region)
		cancel()
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses, c.resolvedAt, c.keep = addresses, time.Now(), ttl*time.Duration(1+2*c.rng.IntN(2))
		if c.conn != nil && !contains(addresses, c.conn.host) {
			c.drop()
		}
		return
	}
}

func contains(addresses []string, h *host) bool {
	for _, a := range addresses {
		if a == h.address(ports.Callers) {
			return true
		}
	}
	return false
}

// connect opens a connection to one of the addresses.
func (c *caller) connect(ctx context.Context) {
	if len(c.addresses) == 0 {
		return
	}
	address := c.addresses[c.rng.IntN(len(c.addresses))]
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return // another address next time
	}
	for _, h := range c.world.hosts {
		if h.address(ports.Callers) == address {
			c.conn = &connection{Conn: conn, in: bufio.NewReader(conn), host: h}
		}
	}
}

// next returns the next request of the caller.
func (c *caller) next(idempotent bool) *request {
	route := c.world.route(c.rng.IntN(1 << 16))
	for idempotent && !route.Idempotent {
		route = c.world.route(c.rng.IntN(1 << 16))
	}
	c.sent++
	q := &request{route: route, host: c.conn.host, incarnation: c.conn.host.started(), kept: c.conn.requests > 0}
	q.Request = platformtest.Request{
		ID: fmt.Sprintf("%s-%d", c.name, c.sent), Method: http.MethodGet, Authority: authority,
		Path: fmt.Sprintf("%sx?n=%d", route.Prefix, c.sent), Timeout: patience,
	}
	if !route.Idempotent {
		q.Method = http.MethodPost
		q.Body = strings.Repeat(q.ID+",", 1+c.rng.IntN(100))
	}
	c.conn.requests++
	return q
}

// request sends one request and reads its answer, or leaves soon.
func (c *caller) request(leaves bool) {
	q := c.next(false)
	c.send(q)
	if leaves {
		q.gaveUp = true
		time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		q.ended = time.Now()
		c.world.record.sent(q)
		c.drop()
		return
	}
	c.receive(q)
}

// pipeline sends requests that may be repeated at once and reads their answers in
// order.
func (c *caller) pipeline() {
	var list []*request
	for i := range 2 + c.rng.IntN(2) {
		q := c.next(true)
		q.pipelined = i > 0
		c.send(q)
		list = append(list, q)
	}
	for _, q := range list {
		if c.conn == nil { // the connection ended with an earlier answer
			q.gaveUp, q.ended = true, time.Now()
			c.world.record.sent(q)
			continue
		}
		c.receive(q)
	}
}

func (c *caller) send(q *request) {
	// A connection that has ended shows that when the answer is read.
	_, _ = c.conn.Write(q.Bytes())
	q.sent = time.Now()
}

// receiveMargin is how much longer than its patience a caller reads, to see late
// answers.
const receiveMargin = time.Second

func (c *caller) receive(q *request) {
	_ = c.conn.SetReadDeadline(q.sent.Add(patience + receiveMargin))
	q.answer, q.err = platformtest.ReadResponse(c.conn.in, q.Request)
	q.ended = time.Now()
	c.world.record.sent(q)
	if q.err != nil || q.answer.Close {
		c.drop()
	}
}
