package client_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/client"
	"github.com/crocushinge/crocushinge/wire"
)

// scriptedTransport responds to directory requests, and to the copies of a request
// by one step each. It records the id of each copy.
type scriptedTransport struct {
	steps []func(*http.Request) (*http.Response, error)
	ids   []string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, "/v1/directory/") {
		return respond(`{"hosts":[{"id":"a","address":"a:80"},{"id":"b","address":"b:80"}],"keep_ms":60000,"id_prefix":"a.1.1."}`, ""), nil
	}
	s.ids = append(s.ids, r.Header.Get(wire.HeaderRequestID))
	step := s.steps[len(s.ids)-1]
	return step(r)
}

func respond(body, result string) *http.Response {
	header := http.Header{wire.HeaderResult: []string{result}}
	status := http.StatusOK
	if result == caller.NotRun.String() {
		status = http.StatusServiceUnavailable
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

func responseLost(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }

func connectionRefused(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
}

func respondWith(text string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) { return respond("", text), nil }
}

// A new id for a request that may have reached a host could make it run twice.
// The client may change the id only after the result "not run".
func TestIDChangesOnlyWhenRequestCannotRun(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []func(*http.Request) (*http.Response, error)
		// sameID tells for each copy but the first whether it has the id of the
		// previous one.
		sameID []bool
		want   caller.Result
	}{
		{"response lost, then unreachable", []func(*http.Request) (*http.Response, error){responseLost, connectionRefused, respondWith("completed")}, []bool{true, true}, caller.Completed},
		{"unreachable at first", []func(*http.Request) (*http.Response, error){connectionRefused, respondWith("completed")}, []bool{false}, caller.Completed},
		{"not run", []func(*http.Request) (*http.Response, error){responseLost, respondWith("not-run"), respondWith("completed")}, []bool{true, false}, caller.Completed},
		{"unknown to one host", []func(*http.Request) (*http.Response, error){respondWith("unknown"), respondWith("pending"), respondWith("completed")}, []bool{true, true}, caller.Completed},
		{"no response", []func(*http.Request) (*http.Response, error){responseLost, connectionRefused, connectionRefused, connectionRefused}, []bool{true, true, true}, caller.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedTransport{steps: test.steps}
			c, err := client.New(client.Config{Seeds: []string{"seed:81"}, Service: "shop", MaxAttempts: len(test.steps), Transport: s})
			is.NoErr(err)
			resp, _ := c.Do(context.Background(), client.Request{Method: http.MethodPost, Path: "/orders"})
			is.Equal(resp.Result, test.want)
			is.Equal(len(s.ids), len(test.steps))
			for i, same := range test.sameID {
				is.Equal(s.ids[i] == s.ids[i+1], same)
			}
		})
	}
}
