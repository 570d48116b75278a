package traffic

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/net/http2"

	"github.com/crocushinge/crocushinge/contract"
)

// framesTarget speaks HTTP/2 by hand: script answers each request's headers.
// It returns its address and the number of requests that it saw.
func framesTarget(t *testing.T, script func(f *http2.Framer, stream uint32) error) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	seen := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFrames(conn, seen, script)
		}
	}()
	return listener.Addr().String(), seen
}

func serveFrames(conn net.Conn, seen *atomic.Int64, script func(f *http2.Framer, stream uint32) error) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(conn, conn)
	if f.WriteSettings() != nil {
		return
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		if headers, ok := frame.(*http2.HeadersFrame); ok {
			seen.Add(1)
			if script(f, headers.StreamID) != nil {
				return
			}
		}
	}
}

// HTTP/2 says of some refusals, and only of those, that the request was not
// processed. None is repeated by the transport behind the handler's back.
func TestRefusedStreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(f *http2.Framer, stream uint32) error
		want   string
	}{
		{"refused stream", func(f *http2.Framer, stream uint32) error {
			return f.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
		}, "not-run"},
		{"beyond the last stream", func(f *http2.Framer, _ uint32) error {
			return f.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, "not-run"},
		{"internal error", func(f *http2.Framer, stream uint32) error {
			return f.WriteRSTStream(stream, http2.ErrCodeInternal)
		}, "unknown"},
		{"cancelled", func(f *http2.Framer, stream uint32) error {
			return f.WriteRSTStream(stream, http2.ErrCodeCancel)
		}, "unknown"},
		{"goodbye after the stream", func(f *http2.Framer, stream uint32) error {
			if err := f.WriteGoAway(stream, http2.ErrCodeNo, nil); err != nil {
				return err
			}
			return io.EOF
		}, "unknown"},
		{"connection closed", func(*http2.Framer, uint32) error { return io.EOF }, "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, body := range []string{"", "ten sheets"} {
				address, seen := framesTarget(t, test.script)
				h := newTestHost(t, "a", address)
				h.snapshot.Load().Services["shop"].Contract.Protocol = contract.H2C
				is.Equal(h.order("", body).result, test.want)
				if test.want == "unknown" {
					is.Equal(seen.Load(), int64(1))
				}
			}
		})
	}
}
