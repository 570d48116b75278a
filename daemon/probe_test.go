package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/wire"
)

// TestProbeOfAForeignServerFails guards against a server that is not the target and confirms it by
// its 200, where the contract says that the targets echo ids.
func TestProbeOfAForeignServerFails(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(w http.ResponseWriter, r *http.Request)
		echoes  bool
		want    bool
	}{
		"right": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		}, true, true},
		"missing":  {func(http.ResponseWriter, *http.Request) {}, true, false},
		"wrong":    {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire.HeaderRequestID, "other") }, true, false},
		"ordinary": {func(http.ResponseWriter, *http.Request) {}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Leaving", "1")
				test.respond(w, r)
			}))
			defer server.Close()
			ended := newProber(tcpNetwork{}).probe(t.Context(), host.SendProbe{
				Address: server.Listener.Addr().String(), Path: "/health", LeavingHeader: "X-Leaving", EchoesID: test.echoes,
			})
			is.Equal(ended.OK, test.want)
			is.Equal(ended.Leaving, test.want)
		})
	}
}
