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

// link is a TCP proxy on loopback between two nodes of the network. While the network
// cuts the path between them, the bytes in transit are held back. The link itself can
// delay and reset its connections.
type link struct {
	listener net.Listener
	network  *fleettest.Network
	from     string
	// to is the address to which connections are forwarded, a string.
	to atomic.Value
	// delay is added to each part of the stream, in nanoseconds.
	delay atomic.Int64

	mu sync.Mutex
	// conns are the accepted connections.
	conns map[*net.TCPConn]bool
}

// newLink opens a link from a node to an address on which another node listens.
func newLink(network *fleettest.Network, from, address string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as a link")
	}
	out := &link{listener: l, network: network, from: from, conns: make(map[*net.TCPConn]bool)}
	out.to.Store(address)
	go out.accept()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// close stops accepting connections and resets the open ones.
func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
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
		downstream := conn.(*net.TCPConn)
		l.mu.Lock()
		l.conns[downstream] = true
		l.mu.Unlock()
		go l.serve(downstream)
	}
}

// serve forwards a connection in both directions until one of them ends.
func (l *link) serve(downstream *net.TCPConn) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, downstream)
		l.mu.Unlock()
	}()
	upstream, err := l.network.At(l.from).DialContext(context.Background(), "tcp4", l.to.Load().(string))
	if err != nil {
		abort(downstream)
		return
	}
	var once sync.Once
	// The first side that ends closes both: an orderly close is passed on to the client as a
	// close, and an error as a reset.
	finish := func(err error) {
		once.Do(func() {
			if err != nil {
				abort(downstream)
			} else {
				_ = downstream.Close()
			}
			_ = upstream.Close()
		})
	}
	go func() { finish(l.forward(upstream, downstream)) }()
	finish(l.forward(downstream, upstream))
}

// forward copies one direction of a connection and delays each part of it. It returns nil
// at the end of the stream.
func (l *link) forward(to io.Writer, from io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(time.Duration(l.delay.Load()))
			if _, err := to.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "write to a link")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read from a link")
		}
	}
}
