package traffic

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/crocushinge/crocushinge/storage/memory"
)

// immediateTransport responds to every request at once.
type immediateTransport struct{}

func (immediateTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: 5,
		Header: http.Header{"Content-Type": {"text/plain"}},
		Body:   io.NopCloser(strings.NewReader("sheet")),
	}, nil
}

// BenchmarkIdempotentRequest measures the handler without the client and the server of
// net/http.
func BenchmarkIdempotentRequest(b *testing.B) {
	h := newHostWithoutServer(b, memory.New(), "a")
	h.handler.cfg.Transport = immediateTransport{}
	h.snapshot.Store(h.newSnapshot([]string{"target:80"}))
	r := httptest.NewRequest(http.MethodGet, "/prices/1", nil)
	r.Header.Set(HeaderAccountKey, testKey)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		h.handler.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body)
		}
	}
}
