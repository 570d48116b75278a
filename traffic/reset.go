package traffic

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errConnectionReset means that the peer has reset a connection whose end was read.
var errConnectionReset = errors.New("the connection was reset")

// wasReset reports whether a connection whose end was just read was reset. The kernel reports a reset to
// one call only: if that was a write, a read finds the end of the data, as after a proper close. The
// state of the socket tells the two apart. After a proper close this side is still open; after a reset,
// both sides are closed. A connection that was closed here meanwhile counts as reset, since a failed
// write has led to that.
func wasReset(conn net.Conn) bool {
	tcp := tcpConnOf(conn)
	if tcp == nil {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		reset = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return reset || err != nil
}
