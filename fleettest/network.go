package fleettest

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// connectTimeout is how long a connection to a place that does not answer is
// tried.
const connectTimeout = time.Second

// Network joins named places: hosts, targets and callers. Each place sees it
// through its own View. Faults are by pairs of places.
type Network struct {
	transport transport

	mu sync.Mutex
	// places maps an address to the place that listens on it.
	places map[string]string
	faults faults
	conns  map[*conn]bool
	// carried counts the bytes of each way.
	carried map[way]uint64
	// dials counts the connections that were opened.
	dials int64
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// transport opens listeners and connections without faults.
type transport interface {
	listen(address string) (net.Listener, error)
	dial(ctx context.Context, address string) (net.Conn, error)
}

// NewLoopback returns a network over the machine's loopback.
func NewLoopback(seed uint64) *Network { return newNetwork(loopback{}, seed) }

// NewMemory returns a network of connections in memory, for synctest bubbles.
func NewMemory(seed uint64) *Network { return newNetwork(newPipes(), seed) }

func newNetwork(t transport, seed uint64) *Network {
	return &Network{
		transport: t,
		places:    make(map[string]string),
		faults:    newFaults(rand.New(rand.NewPCG(seed, seed))),
		conns:     make(map[*conn]bool),
		carried:   make(map[way]uint64),
		changed:   make(chan struct{}),
	}
}

// View is the network as one place sees it. It implements daemon.Network.
type View struct {
	network *Network
	place   string
}

// At returns the view of a place.
func (n *Network) At(place string) View { return View{network: n, place: place} }

// Listen opens a listener of the place.
func (v View) Listen(address string) (net.Listener, error) {
	l, err := v.network.transport.listen(address)
	if err != nil {
		return nil, err
	}
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	v.network.places[l.Addr().String()] = v.place
	return l, nil
}

// DialContext opens a connection from the place. Behind a cut in either
// direction it waits until the connect timeout.
func (v View) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	n := v.network
	to := n.placeOf(address)
	if n.dead(v.place) || n.dead(to) {
		return nil, dialError(network, syscall.ECONNREFUSED)
	}
	for _, way := range [...]way{{v.place, to}, {to, v.place}} {
		if err := n.pass(ctx.Done(), way); err != nil {
			return nil, dialError(network, context.DeadlineExceeded)
		}
	}
	inner, err := n.transport.dial(ctx, address)
	if err != nil {
		return nil, dialError(network, err)
	}
	c := &conn{Conn: inner, network: n, out: way{v.place, to}, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	n.dials++
	return c, nil
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

func (n *Network) placeOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[address]
}

// errClosed ends a wait on a connection that was closed.
var errClosed = errors.New("connection closed")

// pass waits for the delay of a way, and while it is cut or paused.
func (n *Network) pass(closed <-chan struct{}, w way) error {
	n.mu.Lock()
	delay := n.faults.delay(w)
	n.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-closed:
			return errClosed
		}
	}
	for {
		n.mu.Lock()
		blocked, changed := n.faults.blocks(w), n.changed
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-closed:
			return errClosed
		}
	}
}

// conn is a connection whose bytes wait while their way is cut: what TCP
// repeats until it arrives.
type conn struct {
	net.Conn
	network *Network
	out     way
	once    sync.Once
	closed  chan struct{}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.network.pass(c.closed, c.out); err != nil {
		return 0, err
	}
	c.network.count(c.out, len(b))
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	if err != nil {
		return count, err
	}
	if err := c.network.pass(c.closed, c.out.back()); err != nil {
		return 0, err
	}
	c.network.count(c.out.back(), count)
	return count, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func (n *Network) count(w way, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[w] += uint64(bytes)
}

// Dials returns how many connections were opened.
func (n *Network) Dials() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Bytes returns the bytes that were carried on the ways that match, without
// the headers of TCP and IP.
func (n *Network) Bytes(match func(from, to string) bool) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := uint64(0)
	for w, bytes := range n.carried {
		if match(w.from, w.to) {
			total += bytes
		}
	}
	return total
}
