package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/wire"
)

const (
	// probeTimeout limits a probe, from connecting to reading the response body.
	probeTimeout = 2 * time.Second
	// maxProbeBodyBytes limits how much of a response body is read.
	maxProbeBodyBytes = 16 << 10
	// maxProbeHeaderBytes limits the head of a response.
	maxProbeHeaderBytes = 16 << 10
)

// prober sends probes to the health endpoints of targets.
type prober struct{ http1, h2c *http.Client }

func newProber(network Network) *prober {
	newClient := func() (*http.Client, *http.Transport) {
		transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHeaderBytes}
		return &http.Client{
			Transport: transport,
			Timeout:   probeTimeout,
			// A redirect isn't followed, so that the probe fails by its 3xx status.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}, transport
	}
	p := &prober{}
	p.http1, _ = newClient()
	h2c, transport := newClient()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetUnencryptedHTTP2(true)
	p.h2c = h2c
	return p
}

// probe sends one probe. It succeeds only with a 2xx response whose body could be
// read. A response that does not repeat the probe's id says nothing if the targets echo ids.
func (p *prober) probe(ctx context.Context, e host.SendProbe) host.ProbeEnded {
	result := host.ProbeEnded{Target: e.Target}
	start := time.Now()
	id := rand.Text()
	resp, err := p.get(ctx, e, id)
	result.Latency = time.Since(start)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	if e.EchoesID && !slices.Equal(resp.Header.Values(wire.HeaderRequestID), []string{id}) {
		return result
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBodyBytes))
	result.OK = err == nil && resp.StatusCode >= 200 && resp.StatusCode < 300
	result.Leaving = e.LeavingHeader != "" && resp.Header.Get(e.LeavingHeader) != ""
	return result
}

func (p *prober) get(ctx context.Context, e host.SendProbe, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+e.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(wire.HeaderRequestID, id)
	if e.Protocol == contract.H2C {
		return p.h2c.Do(req)
	}
	return p.http1.Do(req)
}
