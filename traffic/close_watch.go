package traffic

import (
	"time"

	"golang.org/x/sys/unix"
)

// closeWatch notices that a caller has closed its connection while bytes of a further request are
// unread. The server of net/http reads one byte during a request to notice the close, and no longer
// looks when that byte is part of a further request. The watch reads nothing: the kernel tells of
// the close beside the unread bytes. The mu of its connection guards it.
type closeWatch struct {
	// ended is closed when the goroutine of the watch has ended; nil if there is none.
	ended chan struct{}
	// stopping is set while the watch is ended by a deadline. deadline is the latest one for reads
	// that the server has set.
	stopping bool
	deadline time.Time
}

// startWatch begins to watch the connection until the next read. Nothing else may read.
func (c *callerConn) startWatch() {
	if c.tcp == nil || c.cancel == nil {
		return
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.watch.ended != nil {
		return
	}
	ended := make(chan struct{})
	c.watch.ended = ended
	go func() {
		defer close(ended)
		// The function is called again whenever bytes or the close arrive. An error means that the
		// watch was stopped, or that the connection is being closed here.
		if raw.Read(closedByPeer) == nil {
			c.cancel()
		}
	}()
}

// stopWatch ends the watch, so that the connection can be read again, and restores the deadline for
// reads.
func (c *callerConn) stopWatch() {
	c.mu.Lock()
	ended := c.watch.ended
	if ended == nil {
		c.mu.Unlock()
		return
	}
	c.watch.stopping = true
	_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
	c.mu.Unlock()
	<-ended
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.stopping, c.watch.ended = false, nil
	if !c.closing {
		_ = c.Conn.SetReadDeadline(c.watch.deadline)
	}
}

// closedByPeer reports whether the peer of a socket has ended its sending side or reset the
// connection, also if bytes of it are unread.
func closedByPeer(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
