package traffic

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
)

// framedRequest is a request that a connection may carry behind another one.
type framedRequest struct {
	text   string
	status int
	// body is what the server gets.
	body string
}

// framedRequests returns requests by name, each of which alone ends with the given status.
func framedRequests() map[string]framedRequest {
	const post = "POST / HTTP/1.1\r\nHost: shop\r\n"
	sized := func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, len(body), body)
	}
	chunked := func(extension, trailer string, chunks ...string) string {
		text := post + "Transfer-Encoding: chunked\r\n\r\n"
		for _, c := range chunks {
			text += fmt.Sprintf("%x%s\r\n%s\r\n", len(c), extension, c)
		}
		return text + "0\r\n" + trailer + "\r\n"
	}
	lines := strings.Repeat("7790001;blotting sheet;12\n", 2*maxHeadLines)
	empty := strings.Repeat("\r\n", 3*maxHeadLines)
	unbroken := strings.Repeat("x", 2*maxRequestHeaderBytes)
	head := "GET / HTTP/1.1\r\nHost: shop\r\n\r\n"
	fields := strings.Repeat("a:\r\n", maxHeadLines+10)
	return map[string]framedRequest{
		"no body":                       {head, 200, ""},
		"a body of lines":               {sized(lines), 200, lines},
		"a body of empty lines":         {sized(empty), 200, empty},
		"a body without a line feed":    {sized(unbroken), 200, unbroken},
		"a body that looks like heads":  {sized(strings.Repeat(head, 40)), 200, strings.Repeat(head, 40)},
		"an empty body":                 {sized(""), 200, ""},
		"chunks of lines":               {chunked("", "", lines, lines), 200, lines + lines},
		"many small chunks":             {chunked("", "", strings.Split(strings.Repeat("\n,", 40), ",")[:40]...), 200, strings.Repeat("\n", 40)},
		"chunks with extensions":        {chunked(";name=value", "", empty), 200, empty},
		"chunks and a trailer":          {chunked("", "Checksum: 1\r\nOther: 2\r\n", lines), 200, lines},
		"a length on two lines":         {post + "Content-Length:\r\n 6\r\n\r\nhello\n", 200, "hello\n"},
		"a coding on two lines":         {post + "Transfer-Encoding:\r\n\tChunked\r\n\r\n3\r\n\n\n\n\r\n0\r\n\r\n", 200, "\n\n\n"},
		"the same length twice":         {post + "content-length: 2\r\nCONTENT-LENGTH: 2\r\n\r\n\n\n", 200, "\n\n"},
		"a length beside chunks":        {post + "Content-Length: 9999\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\n\r\n", 200, "\n\n"},
		"chunks that HTTP/1.0 lacks":    {"POST / HTTP/1.0\r\nHost: shop\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n\n\n", 200, "\n\n"},
		"expectation of a continuation": {strings.Replace(sized(lines), "Host: shop\r\n", "Host: shop\r\nExpect: 100-continue\r\n", 1), 200, lines},
		"a head over the limit":         {"GET / HTTP/1.1\r\nHost: shop\r\n" + fields + "\r\n", 431, ""},
		"a length over the limit":       {post + "Content-Length: " + strings.Repeat("0", 200) + "1\r\n\r\n\n", 431, ""},
	}
}

// sendInPieces writes text in pieces of a size and returns what the server sends until it closes.
func sendInPieces(t *testing.T, address, text string, size int) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return // the server has closed
			}
			text = text[n:]
		}
	}()
	data, _ := io.ReadAll(conn) // a reset ends the responses as well
	return string(data)
}

// responsesIn parses all final responses on a connection.
func responsesIn(t *testing.T, text string) (statuses []int, bodies []string) {
	t.Helper()
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, bodies
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusContinue {
			statuses, bodies = append(statuses, resp.StatusCode), append(bodies, string(body))
		}
	}
}

// TestHeadsAreFoundByTheFramingOfMessages guards against a body that is measured as a head, and a head that
// is not measured, because they lie behind another request in what was read at once.
func TestHeadsAreFoundByTheFramingOfMessages(t *testing.T) {
	requests := framedRequests()
	first := map[string][]string{
		"alone": nil, "behind a GET": {"no body"}, "behind chunks": {"chunks of lines"}, "behind a body of lines": {"a body of lines"},
		"behind twenty GETs": strings.Split(strings.Repeat("no body,", 20), ",")[:20],
	}
	const last = "POST / HTTP/1.1\r\nHost: shop\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlast"
	for place, before := range first {
		for name, request := range requests {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				var text strings.Builder
				var statuses []int
				var bodies []string
				for _, b := range before {
					text.WriteString(requests[b].text)
					statuses, bodies = append(statuses, 200), append(bodies, requests[b].body)
				}
				text.WriteString(request.text)
				statuses, bodies = append(statuses, request.status), append(bodies, request.body)
				if request.status == http.StatusOK {
					text.WriteString(last)
					statuses, bodies = append(statuses, 200), append(bodies, "last")
				}
				for _, size := range []int{1 << 30, 4096, 1400, 61} {
					is := is.New(t)
					heads := caller.NewMemory(1 << 20)
					gotStatuses, gotBodies := responsesIn(t, sendInPieces(t, startMeteredServer(t, heads), text.String(), size))
					is.Equal(gotStatuses, statuses)
					if request.status == http.StatusOK {
						is.Equal(gotBodies, bodies)
					}
					for range 200 {
						if heads.Used() == 0 {
							break
						}
						time.Sleep(10 * time.Millisecond)
					}
					is.Equal(heads.Used(), int64(0))
				}
			})
		}
	}
}

// TestTrailersAreBounded covers a trailer of many short lines, whose parsed fields take much memory.
func TestTrailersAreBounded(t *testing.T) {
	is := is.New(t)
	heads := caller.NewMemory(1 << 20)
	address := startMeteredServer(t, heads)
	trailer := strings.Repeat("a:\r\n", maxHeadLines+10)
	text := "POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\n\n\r\n0\r\n" + trailer + "\r\n"
	statuses, _ := responsesIn(t, sendInPieces(t, address, text, 1<<30))
	is.True(len(statuses) <= 1) // what becomes of the request is its own response; the connection ends
	is.Equal(heads.Used(), int64(0))
}

// TestHeadBehindARequestIsMeasuredBeforeItIsParsed covers memory: the heads in one buffer are not all held
// at once, and the response to the first one comes before the refusal of the second.
func TestHeadBehindARequestIsMeasuredBeforeItIsParsed(t *testing.T) {
	is := is.New(t)
	heads := caller.NewMemory(10 << 10)
	address := startMeteredServer(t, heads)
	head := "GET / HTTP/1.1\r\nHost: shop\r\n" + strings.Repeat("a:\r\n", maxHeadLines-10) + "\r\n"
	text := sendInPieces(t, address, "GET / HTTP/1.1\r\nHost: shop\r\n\r\n"+head+head, 1<<30)
	statuses, _ := responsesIn(t, text)
	is.Equal(statuses, []int{http.StatusOK, http.StatusServiceUnavailable})
	is.Equal(strings.Count(text, "HTTP/1.1"), 2) // nothing follows the refusal
}

// FuzzRequestFraming checks that the framing agrees with the parser of net/http: whatever the pieces, the
// messages that it finds are those that http.ReadRequest reads.
func FuzzRequestFraming(f *testing.F) {
	const next = "GET / HTTP/1.1\r\nHost: shop\r\n\r\n"
	for _, r := range framedRequests() {
		if len(r.text) < 512 { // long ones take the time of the fuzzing
			f.Add([]byte(r.text+next), 7)
		}
	}
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\n\n\n\n\r\n0\r\nSum: 1\r\n\r\n"+next), 5)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n\n\n\n\n"+next), 3)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if len(data) > 1<<16 {
			return
		}
		piece = 1 + int(uint(piece)%4096)
		var ends []int
		stopped := false // by a limit, or by another protocol
		framing := newRequestFraming(nil)
		for at := 0; at < len(data); {
			n, ended, err := framing.scan(data[at:min(len(data), at+piece)])
			if stopped = err != nil || framing.state == inOtherProtocol; stopped {
				break
			}
			if at += n; ended {
				ends = append(ends, at)
				framing = newRequestFraming(nil)
			}
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		for _, end := range ends {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return // the server ends the connection
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if got := len(data) - source.Len() - reader.Buffered(); got != end {
				t.Fatalf("a message ends at %d by net/http and at %d by the framing: %q", got, end, data)
			}
		}
		if r, err := http.ReadRequest(reader); err == nil && !stopped {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				t.Fatalf("net/http reads a further message than the framing: %q", data)
			}
		}
	})
}
