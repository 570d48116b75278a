package traffic

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestInterimResponsesAreForwardedBetweenHosts(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		echo(w, r)
	})
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b", target.address())
	registerPeers(a, b)
	var hints atomic.Int64
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, _ textproto.MIMEHeader) error {
			if status == http.StatusEarlyHints {
				hints.Add(1)
			}
			return nil
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/orders", strings.NewReader("ten sheets"))
	is.NoErr(err)
	req.Header.Set(HeaderAccountKey, testKey)
	req.Header.Set(HeaderRequestID, a.home.Prefix()+"order1")
	is.Equal(roundTrip(req).status, http.StatusCreated)
	is.Equal(a.requestCount.Load(), int64(1)) // b forwarded the request
	is.Equal(hints.Load(), int64(1))
}
