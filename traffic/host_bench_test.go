package traffic

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/crocushinge/crocushinge/storage/memory"
)

// Messages of the benchmark's caller and target.
const (
	benchRequest = "GET /prices/1 HTTP/1.1\r\nHost: shop\r\nCrocushinge-Key: " + testKey + "\r\n\r\n"
	benchAnswer  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nsheet"
)

// BenchmarkHost measures a host from its listener to its connections to a
// target. Caller and target allocate nothing, so that the allocations are the
// host's own.
func BenchmarkHost(b *testing.B) {
	target := listenLoopback(b)
	go acceptAll(target, answerEach)
	h := newHostCore(b, memory.New(), "a")
	h.snapshot.Store(h.newSnapshot([]string{target.Addr().String()}))
	server, front := NewServer(h.handler), listenLoopback(b)
	go func() { _ = server.Serve(front) }()
	b.Cleanup(func() { _ = server.Close() })
	conn, err := DialTCP(b.Context(), "tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	answers := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, benchRequest); err != nil {
			b.Fatal(err)
		}
		if err := skipMessage(answers, len("sheet")); err != nil {
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

// answerEach answers every request without a body on a connection.
func answerEach(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for skipMessage(requests, 0) == nil {
		if _, err := io.WriteString(conn, benchAnswer); err != nil {
			return
		}
	}
}

// skipMessage reads over a message with a body of the given length.
func skipMessage(r *bufio.Reader, body int) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			_, err = r.Discard(body)
			return err
		}
	}
}
