package traffic

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/net/http2"

	"github.com/crocushinge/crocushinge/contract"
)

// targetTexts are texts of errors after which net/http or this project takes a request for not
// sent or not processed.
var targetTexts = []string{
	"REFUSED_STREAM",
	goAwayText,
	"stream error: stream ID 1; REFUSED_STREAM; received from peer",
	"http2: Transport: cannot retry err [" + goAwayText + "] after Request.Body was written; define Request.GetBody to avoid this error",
	"http2: client conn not usable",
	"http: server closed idle connection",
	"dial tcp 127.0.0.1:80: connect: connection refused",
}

// textPlaces are the places of a response of HTTP/1.1 of which net/http's errors quote the bytes.
var textPlaces = map[string]func(text string) string{
	"line":              func(text string) string { return text + "\r\n\r\n" },
	"version":           func(text string) string { return text + " 200 OK\r\n\r\n" },
	"status":            func(text string) string { return "HTTP/1.1 " + text + "\r\n\r\n" },
	"header line":       func(text string) string { return "HTTP/1.1 200 OK\r\n" + text + "\x00\r\n\r\n" },
	"header value":      func(text string) string { return "HTTP/1.1 200 OK\r\nX-A: " + text + "\x00\r\n\r\n" },
	"Content-Length":    func(text string) string { return "HTTP/1.1 200 OK\r\nContent-Length: " + text + "\r\n\r\n" },
	"Transfer-Encoding": func(text string) string { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + text + "\r\n\r\n" },
	"chunk size": func(text string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text + "\r\n"
	},
	"interim response": func(text string) string { return "HTTP/1.1 103 " + text + "\r\n" + text + "\r\n\r\n" },
}

// TestTextOfATargetDoesNotMeanNotRun guards against an order that runs a second time, or is said
// not to have run, because of a text that its target wrote in place of the response.
func TestTextOfATargetDoesNotMeanNotRun(t *testing.T) {
	for place, respond := range textPlaces {
		t.Run(place, func(t *testing.T) {
			is := is.New(t)
			for _, text := range targetTexts {
				g := newTestGateway(t)
				proven := func(id string) string { return prove(respond(text), id) }
				runs := g.addRawTarget("a", proven, true)
				other := g.addRawTarget("b", proven, true)
				g.start()
				is.Equal(g.send(http.MethodPut, "/write/x", "ten sheets").status, http.StatusBadGateway)
				is.Equal(runs.Load()+other.Load(), int64(1))

				var ran atomic.Int64
				target := func() string {
					return newRawTarget(t, func(conn net.Conn, _ int, _ *http.Request) bool {
						ran.Add(1)
						_, _ = io.WriteString(conn, respond(text))
						return false
					})
				}
				h := newTestHost(t, "a", target(), target())
				is.Equal(h.sendOrder("", "ten sheets").result, "unknown")
				is.Equal(ran.Load(), int64(1))
			}
		})
	}
}

// TestTextOfAnHTTP2TargetDoesNotMeanNotRun guards against the same on HTTP/2, where errors quote
// the debug data of GOAWAY and the names of invalid header fields.
func TestTextOfAnHTTP2TargetDoesNotMeanNotRun(t *testing.T) {
	for _, text := range targetTexts {
		for name, script := range map[string]func(f *http2.Framer, streamID uint32) error{
			"debug data": func(f *http2.Framer, streamID uint32) error {
				if err := f.WriteGoAway(streamID, http2.ErrCodeInternal, []byte(text)); err != nil {
					return err
				}
				return io.EOF
			},
			"header field": func(f *http2.Framer, streamID uint32) error {
				// A literal field without indexing (RFC 7541, 6.2.2), with an invalid name.
				block := append([]byte{0x88, 0, byte(len(text))}, text+"\x01v"...)
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: streamID, BlockFragment: block, EndHeaders: true, EndStream: true})
			},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				for _, body := range []string{"", "ten sheets"} {
					address, requests := newFrameTarget(t, script)
					h := newTestHost(t, "a", address)
					h.snapshot.Load().Services["shop"].Contract.Protocol = contract.H2C
					is.Equal(h.sendOrder("", body).result, "unknown")
					is.Equal(requests.Load(), int64(1))
				}
			})
		}
	}
}

// TestRefusedStreamErrors guards against errors that merely contain the text of a refused stream.
func TestRefusedStreamErrors(t *testing.T) {
	const cannotRetry = "http2: Transport: cannot retry err [stream error: stream ID 3; %s; received from peer] after Request.Body was written; define Request.GetBody to avoid this error"
	for _, test := range []struct {
		err      error
		protocol contract.Protocol
		want     bool
	}{
		{streamError{StreamID: 1, Code: codeRefusedStream}, contract.H2C, true},
		{streamError{StreamID: 1, Code: codeRefusedStream}, contract.HTTP1, false},
		{streamError{StreamID: 1, Code: 1}, contract.H2C, false},
		{errors.New(goAwayText), contract.H2C, true},
		{errors.New(goAwayText), contract.HTTP1, false},
		{errors.New("debug=\"" + goAwayText + "\""), contract.H2C, false},
		{errors.New(goAwayText + "\n"), contract.H2C, false},
		{errors.New(strings.Replace(cannotRetry, "%s", "REFUSED_STREAM", 1)), contract.H2C, true},
		{errors.New(strings.Replace(cannotRetry, "%s", "PROTOCOL_ERROR", 1)), contract.H2C, false},
		{errors.New("REFUSED_STREAM"), contract.H2C, false},
	} {
		t.Run(string(test.protocol)+" "+test.err.Error(), func(t *testing.T) {
			is.New(t).Equal(isRefusedStream(test.err, test.protocol), test.want)
		})
	}
}
