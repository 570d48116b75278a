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

// newFrameTarget starts an HTTP/2 target that calls script for the HEADERS frame of
// each request and closes the connection if script returns an error. It returns its
// address and the counter of the requests received.
func newFrameTarget(t *testing.T, script func(f *http2.Framer, streamID uint32) error) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFrames(conn, requests, script)
		}
	}()
	return listener.Addr().String(), requests
}

func serveFrames(conn net.Conn, requests *atomic.Int64, script func(f *http2.Framer, streamID uint32) error) {
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
			requests.Add(1)
			if script(f, headers.StreamID) != nil {
				return
			}
		}
	}
}

// TestRefusedStreams checks that the result is "not run" only for the errors after
// which HTTP/2 guarantees that the request was not processed, and that the transport
// does not resend a request after any other error.
func TestRefusedStreams(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(f *http2.Framer, streamID uint32) error
		want   string
	}{
		{"refused stream", func(f *http2.Framer, streamID uint32) error {
			return f.WriteRSTStream(streamID, http2.ErrCodeRefusedStream)
		}, "not-run"},
		{"GOAWAY before the stream", func(f *http2.Framer, _ uint32) error {
			return f.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, "not-run"},
		{"internal error", func(f *http2.Framer, streamID uint32) error {
			return f.WriteRSTStream(streamID, http2.ErrCodeInternal)
		}, "unknown"},
		{"protocol error", func(f *http2.Framer, streamID uint32) error {
			return f.WriteRSTStream(streamID, http2.ErrCodeProtocol)
		}, "unknown"},
		{"canceled", func(f *http2.Framer, streamID uint32) error {
			return f.WriteRSTStream(streamID, http2.ErrCodeCancel)
		}, "unknown"},
		{"GOAWAY after the stream", func(f *http2.Framer, streamID uint32) error {
			if err := f.WriteGoAway(streamID, http2.ErrCodeNo, nil); err != nil {
				return err
			}
			return io.EOF
		}, "unknown"},
		{"connection closed", func(*http2.Framer, uint32) error { return io.EOF }, "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, body := range []string{"", "ten sheets"} {
				address, requests := newFrameTarget(t, test.script)
				h := newTestHost(t, "a", address)
				h.snapshot.Load().Services["shop"].Contract.Protocol = contract.H2C
				is.Equal(h.sendOrder("", body).result, test.want)
				if test.want == "unknown" {
					is.Equal(requests.Load(), int64(1))
				}
			}
		})
	}
}
