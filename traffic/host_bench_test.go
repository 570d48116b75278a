package traffic

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/crocushinge/crocushinge/storage/memory"
)

// Messages that the benchmark's caller and target send.
const (
	benchRequest  = "GET /prices/1 HTTP/1.1\r\nHost: shop\r\nCrocushinge-Key: " + testKey + "\r\n\r\n"
	benchResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nsheet"
)

// BenchmarkHost measures a host including the servers and clients of net/http. The
// caller and the target do not allocate, so that all counted allocations are the host's.
func BenchmarkHost(b *testing.B) {
	target := listenLoopback(b)
	go acceptAll(target, respondToAll)
	h := newHostWithoutServer(b, memory.New(), "a")
	h.snapshot.Store(h.newSnapshot([]string{target.Addr().String()}))
	server, listener := NewServer(h.handler), listenLoopback(b)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	conn, err := DialTCP(b.Context(), "tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	responses := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, benchRequest); err != nil {
			b.Fatal(err)
		}
		if err := skipMessage(responses, len("sheet")); err != nil {
			b.Fatal(err)
		}
	}
}

func listenLoopback(b *testing.B) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	return listener
}

func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// respondToAll responds to every request on a connection. Requests must not have a body.
func respondToAll(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for skipMessage(requests, 0) == nil {
		if _, err := io.WriteString(conn, benchResponse); err != nil {
			return
		}
	}
}

// skipMessage reads and discards a message with a body of the given length.
func skipMessage(r *bufio.Reader, bodyBytes int) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			_, err = r.Discard(bodyBytes)
			return err
		}
	}
}
