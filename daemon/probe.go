package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/host"
)

const (
	// probeTimeout is how long a health endpoint may take to answer.
	probeTimeout = 2 * time.Second
	// maxProbeBody is how much of an answer is read so that its connection can
	// be used again, in bytes.
	maxProbeBody = 16 << 10
)

// prober asks the health endpoints of targets.
type prober struct{ http1, h2c *http.Client }

func newProber(network Network) *prober {
	client := func() (*http.Client, *http.Transport) {
		transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}
		return &http.Client{
			Transport: transport,
			Timeout:   probeTimeout,
			// A redirect is an answer, not an address to follow.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}, transport
	}
	p := &prober{}
	p.http1, _ = client()
	h2c, transport := client()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetUnencryptedHTTP2(true)
	p.h2c = h2c
	return p
}

// probe asks one health endpoint. Any answer but a success is a failure.
func (p *prober) probe(ctx context.Context, e host.SendProbe) host.ProbeEnded {
	answer := host.ProbeEnded{Target: e.Target}
	started := time.Now()
	resp, err := p.get(ctx, e)
	answer.Latency = time.Since(started)
	if err != nil {
		return answer
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody))
	answer.OK = err == nil && resp.StatusCode >= 200 && resp.StatusCode < 300
	answer.Leaving = e.LeavingHeader != "" && resp.Header.Get(e.LeavingHeader) != ""
	return answer
}

func (p *prober) get(ctx context.Context, e host.SendProbe) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+e.Path, nil)
	if err != nil {
		return nil, err
	}
	if e.Protocol == contract.H2C {
		return p.h2c.Do(req)
	}
	return p.http1.Do(req)
}
