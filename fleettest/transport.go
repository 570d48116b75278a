package fleettest

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// loopbackTransport uses TCP over the machine's loopback interface.
type loopbackTransport struct{}

func (loopbackTransport) listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

func (loopbackTransport) dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// basePort is the port below the first one that a pipeTransport assigns.
const basePort = 20000

// pipeTransport connects dialers to listeners by in-memory pipes.
type pipeTransport struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	lastPort  int
}

func newPipeTransport() *pipeTransport {
	return &pipeTransport{listeners: make(map[string]*memoryListener), lastPort: basePort}
}

// listen opens a listener; port 0 is replaced by a free port.
func (p *pipeTransport) listen(address string) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ip, ok := strings.CutSuffix(address, ":0"); ok {
		p.lastPort++
		address = net.JoinHostPort(ip, strconv.Itoa(p.lastPort))
	}
	if p.listeners[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	l := &memoryListener{
		transport: p,
		address:   memoryAddr(address),
		pending:   make(chan net.Conn),
		closed:    make(chan struct{}),
	}
	p.listeners[address] = l
	return l, nil
}

func (p *pipeTransport) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	dialed, accepted := net.Pipe()
	select {
	case l.pending <- acceptedConn{Conn: accepted, local: l.address}:
		return dialed, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener accepts the listening ends of pipes.
type memoryListener struct {
	transport *pipeTransport
	address   memoryAddr
	pending   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.transport.mu.Lock()
		defer l.transport.mu.Unlock()
		delete(l.transport.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryAddr is an "ip:port" address of a pipeTransport.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// acceptedConn is the accepted end of a pipe, with the address of its listener.
type acceptedConn struct {
	net.Conn
	local memoryAddr
}

// LocalAddr implements net.Conn.
func (a acceptedConn) LocalAddr() net.Addr { return a.local }
