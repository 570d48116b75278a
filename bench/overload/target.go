package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// standIn is a target with its own queue without bounds. It goes on with work
// whose caller has given up, as targets do that do not heed cancellation.
type standIn struct {
	slots chan struct{}
}

func newStandIn(slots int) *standIn { return &standIn{slots: make(chan struct{}, slots)} }

// work waits for a slot, works, and reports the end.
func (t *standIn) work(done chan<- struct{}) {
	t.slots <- struct{}{}
	time.Sleep(serviceTime)
	<-t.slots
	close(done)
}

// network carries requests to the stand-ins by their address.
type network map[string]*standIn

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	done := make(chan struct{})
	go n[r.URL.Host].work(done)
	select {
	case <-done:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header),
		ContentLength: 2, Body: io.NopCloser(bytes.NewReader([]byte("ok"))), Request: r,
	}, nil
}
