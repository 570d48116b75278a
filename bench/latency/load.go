package main

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// workers is how many requests a caller can have in flight.
const workers = 256

// backlog is how many requests can wait for a worker.
const backlog = 1 << 16

// caller sends requests to one service.
type caller struct {
	addresses []string
	key       string
	client    *http.Client
	next      atomic.Uint64
	workers   []*sample
}

func newCaller(addresses []string, key string) *caller {
	c := &caller{addresses: addresses, key: key, client: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true},
	}}
	for range workers {
		c.workers = append(c.workers, newSample())
	}
	return c
}

// load sends requests at a constant rate, independent of the responses (open
// loop), and measures each latency from the time at which the request was due.
func (c *caller) load(rate float64, length time.Duration) *sample {
	due := make(chan time.Time, backlog)
	var group sync.WaitGroup
	for _, worker := range c.workers {
		worker.reset()
		group.Go(func() {
			for at := range due {
				startDelay := time.Since(at)
				err := c.call()
				worker.record(time.Since(at), startDelay, err)
			}
		})
	}
	start := time.Now()
	for i := range int64(rate * length.Seconds()) {
		at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		due <- at
	}
	close(due)
	group.Wait()
	total := newSample()
	for _, worker := range c.workers {
		total.merge(worker)
	}
	return total
}

// call sends one request and reads the whole response.
func (c *caller) call() error {
	address := c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/bench/1", nil)
	if err != nil {
		return err
	}
	if c.key != "" {
		request.Header.Set("Crocushinge-Key", c.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", response.Status)
	}
	return nil
}
