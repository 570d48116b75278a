package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/fleettest"
)

// link is a proxy on loopback between two places of the network. The network's
// cuts hold its bytes; the link can delay and reset its connections besides.
type link struct {
	listener net.Listener
	network  *fleettest.Network
	from     string
	// to is the address behind the link.
	to    atomic.Value
	delay atomic.Int64

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

// newLink opens a link from a place to an address that the network knows.
func newLink(network *fleettest.Network, from, address string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	out := &link{listener: l, network: network, from: from, conns: make(map[*net.TCPConn]bool)}
	out.to.Store(address)
	go out.accept()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// close ends the link and its connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

// reset resets all connections of the link.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// abort ends a connection by a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		near := conn.(*net.TCPConn)
		l.mu.Lock()
		l.conns[near] = true
		l.mu.Unlock()
		go l.serve(near)
	}
}

// serve carries a connection.
func (l *link) serve(near *net.TCPConn) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, near)
		l.mu.Unlock()
	}()
	far, err := l.network.At(l.from).DialContext(context.Background(), "tcp4", l.to.Load().(string))
	if err != nil {
		abort(near)
		return
	}
	var once sync.Once
	// Each side's end is the other's: a close is passed on as a close, and a reset as
	// a reset.
	finish := func(err error) {
		once.Do(func() {
			if err != nil {
				abort(near)
			} else {
				_ = near.Close()
			}
			_ = far.Close()
		})
	}
	go func() { finish(l.carry(far, near)) }()
	finish(l.carry(near, far))
}

// carry copies what one side sends to the other, each part after the link's
// delay.
func (l *link) carry(to io.Writer, from io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(l.delay.Load()))
			if _, err := to.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "write on a link")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read on a link")
		}
	}
}
