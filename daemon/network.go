package daemon

import (
	"context"
	"net"
	"time"

	"github.com/crocushinge/crocushinge/traffic"
)

// Network opens the listeners and the connections of a daemon. Tests put
// faults or in-memory connections behind it.
type Network interface {
	// Listen opens a TCP listener on "ip:port".
	Listen(address string) (net.Listener, error)
	// DialContext opens a connection, like net.Dialer.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ Network = tcpNetwork{}

// tcpNetwork is the network of the machine.
type tcpNetwork struct{}

// Listen implements Network.
func (tcpNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (tcpNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return traffic.DialTCP(ctx, network, address)
}

// Option changes how a daemon is built.
type Option func(*options)

type options struct {
	network   Network
	leaveTime time.Duration
}

// WithNetwork makes a daemon use a network other than the machine's.
func WithNetwork(n Network) Option { return func(o *options) { o.network = n } }

// WithLeaveTime changes how long a leaving host goes on accepting requests.
func WithLeaveTime(t time.Duration) Option { return func(o *options) { o.leaveTime = t } }

func newOptions(list []Option) options {
	o := options{network: tcpNetwork{}, leaveTime: leaveTime}
	for _, set := range list {
		set(&o)
	}
	return o
}
