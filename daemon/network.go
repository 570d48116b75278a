package daemon

import (
	"context"
	"net"
	"time"

	"github.com/crocushinge/crocushinge/traffic"
)

// Network opens the listeners and connections of a daemon. Tests implement it to
// inject faults or to use in-memory connections.
type Network interface {
	// Listen opens a TCP listener on "ip:port".
	Listen(address string) (net.Listener, error)
	// DialContext opens a connection, like net.Dialer.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Network = tcpNetwork{}

// tcpNetwork uses the TCP stack of the operating system.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (tcpNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return traffic.DialTCP(ctx, network, address)
}

// Option configures a daemon.
type Option func(*options)

type options struct {
	network   Network
	leaveTime time.Duration
}

// WithNetwork replaces the TCP stack of the operating system.
func WithNetwork(n Network) Option { return func(o *options) { o.network = n } }

// WithLeaveTime sets how long a leaving host keeps accepting requests.
func WithLeaveTime(t time.Duration) Option { return func(o *options) { o.leaveTime = t } }

func newOptions(opts []Option) options {
	o := options{network: tcpNetwork{}, leaveTime: defaultLeaveTime}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}
