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

// loopback is TCP on the machine's loopback.
type loopback struct{}

func (loopback) listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (loopback) dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// firstPort is the first port that a memory transport gives out.
const firstPort = 20000

// pipes joins listeners and dialers by pipes.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	nextPort  int
}

func newPipes() *pipes {
	return &pipes{listeners: make(map[string]*memoryListener), nextPort: firstPort}
}

// listen opens a listener; port 0 takes a free one.
func (p *pipes) listen(address string) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ip, ok := strings.CutSuffix(address, ":0"); ok {
		p.nextPort++
		address = net.JoinHostPort(ip, strconv.Itoa(p.nextPort))
	}
	if p.listeners[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	l := &memoryListener{
		pipes:   p,
		address: memoryAddr(address),
		waiting: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	p.listeners[address] = l
	return l, nil
}

func (p *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case l.waiting <- addressed{Conn: far, local: l.address}:
		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener hands over the far ends of pipes.
type memoryListener struct {
	pipes   *pipes
	address memoryAddr
	waiting chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.pipes.mu.Lock()
		defer l.pipes.mu.Unlock()
		delete(l.pipes.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryAddr is an "ip:port" of a memory transport.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// addressed is the accepted end of a pipe.
type addressed struct {
	net.Conn
	local memoryAddr
}

// LocalAddr implements net.Conn.
func (a addressed) LocalAddr() net.Addr { return a.local }
