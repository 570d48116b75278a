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

// connectTimeout is the timeout of connecting to a node that does not respond.
const connectTimeout = time.Second

// Network connects named nodes: hosts, targets, callers and the store. Each node
// uses it through a View of its own, so that faults can be injected between any
// two nodes.
type Network struct {
	transport transport

	mu sync.Mutex
	// nodes maps an address to the node that listens on it.
	nodes  map[string]string
	faults faults
	conns  map[*conn]bool
	// bytesByDirection counts the bytes transferred in each direction.
	bytesByDirection map[direction]uint64
	// dials counts the connections opened.
	dials int64
	// faultsChanged is closed and replaced on every change of the faults.
	faultsChanged chan struct{}
}

// transport opens listeners and connections without faults.
type transport interface {
	listen(address string) (net.Listener, error)
	dial(ctx context.Context, address string) (net.Conn, error)
}

// NewLoopback returns a network over the machine's loopback.
func NewLoopback(seed uint64) *Network { return newNetwork(loopbackTransport{}, seed) }

// NewMemory returns a network of in-memory connections, for synctest bubbles.
func NewMemory(seed uint64) *Network { return newNetwork(newPipeTransport(), seed) }

func newNetwork(t transport, seed uint64) *Network {
	return &Network{
		transport:        t,
		nodes:            make(map[string]string),
		faults:           newFaults(rand.New(rand.NewPCG(seed, seed))),
		conns:            make(map[*conn]bool),
		bytesByDirection: make(map[direction]uint64),
		faultsChanged:    make(chan struct{}),
	}
}

// View is the network as one node uses it. It implements daemon.Network.
type View struct {
	network *Network
	node    string
}

// At returns the view of a node.
func (n *Network) At(node string) View { return View{network: n, node: node} }

// Listen opens a listener that belongs to the node.
func (v View) Listen(address string) (net.Listener, error) {
	l, err := v.network.transport.listen(address)
	if err != nil {
		return nil, err
	}
	v.network.mu.Lock()
	defer v.network.mu.Unlock()
	v.network.nodes[l.Addr().String()] = v.node
	return l, nil
}

// DialContext opens a connection from the node. If either direction is cut or
// paused, it waits until the fault ends or the connect timeout expires.
func (v View) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	n := v.network
	to := n.nodeAt(address)
	if n.isKilled(v.node) || n.isKilled(to) {
		return nil, dialError(network, syscall.ECONNREFUSED)
	}
	for _, d := range [...]direction{{v.node, to}, {to, v.node}} {
		if err := n.awaitDelivery(ctx.Done(), d); err != nil {
			return nil, dialError(network, context.DeadlineExceeded)
		}
	}
	inner, err := n.transport.dial(ctx, address)
	if err != nil {
		return nil, dialError(network, err)
	}
	c := &conn{Conn: inner, network: n, outbound: direction{v.node, to}, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	n.dials++
	return c, nil
}

func dialError(network string, err error) error {
	return &net.OpError{Op: "dial", Net: network, Err: err}
}

// nodeAt returns the node that listens on an address.
func (n *Network) nodeAt(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// errClosed is returned by a read or write if the connection was closed while the
// bytes were delayed or held.
var errClosed = errors.New("connection closed")

// awaitDelivery waits for the delay of a direction and then until it is neither
// cut nor paused. It fails when closed is closed.
func (n *Network) awaitDelivery(closed <-chan struct{}, d direction) error {
	n.mu.Lock()
	delay := n.faults.delay(d)
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
		blocked, changed := n.faults.blocks(d), n.faultsChanged
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

// conn is the dialing end of a connection. Its bytes are held while their
// direction is cut, and delivered afterwards, as by the retransmissions of TCP.
type conn struct {
	net.Conn
	network   *Network
	outbound  direction
	closeOnce sync.Once
	closed    chan struct{}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.network.awaitDelivery(c.closed, c.outbound); err != nil {
		return 0, err
	}
	c.network.countBytes(c.outbound, len(b))
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	if err != nil {
		return count, err
	}
	if err := c.network.awaitDelivery(c.closed, c.outbound.reverse()); err != nil {
		return 0, err
	}
	c.network.countBytes(c.outbound.reverse(), count)
	return count, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// countBytes adds to the bytes transferred in a direction.
func (n *Network) countBytes(d direction, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesByDirection[d] += uint64(bytes)
}

// Dials returns the number of connections opened.
func (n *Network) Dials() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Bytes returns the number of bytes transferred in all matching directions,
// without the headers of TCP and IP.
func (n *Network) Bytes(match func(from, to string) bool) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := uint64(0)
	for d, bytes := range n.bytesByDirection {
		if match(d.from, d.to) {
			total += bytes
		}
	}
	return total
}
