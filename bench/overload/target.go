package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// standInTarget is a target with an unbounded queue of its own. It also processes
// requests that have been canceled, like a target that ignores cancellation.
type standInTarget struct {
	slots chan struct{}
}

func newStandInTarget(slots int) *standInTarget {
	return &standInTarget{slots: make(chan struct{}, slots)}
}

// serve waits for a slot, processes a request and closes done.
func (t *standInTarget) serve(done chan<- struct{}) {
	t.slots <- struct{}{}
	time.Sleep(serviceTime)
	<-t.slots
	close(done)
}

// network is a transport that sends requests to the stand-in targets by address.
type network map[string]*standInTarget

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	done := make(chan struct{})
	go n[r.URL.Host].serve(done)
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
