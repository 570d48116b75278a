package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/wire"
)

const (
	// directoryTimeout limits a request to the directory of one host.
	directoryTimeout = time.Second
	// maxDirectoryBytes limits the size of a directory response.
	maxDirectoryBytes = 1 << 20
	// failureWindow is the period after a host's failure in which the client tries
	// the host only after all others.
	failureWindow = 5 * time.Second
	// prefixLifetime is how long an id prefix is used when the directory cannot
	// be reached. The ids created with the prefix live longer than that.
	prefixLifetime = caller.IDLifetime / 2
)

// directory is a cached response of the caller directory.
type directory struct {
	hosts    []wire.DirectoryHost
	idPrefix string
	// The directory is fetched again after refreshAfter. If that fails, the cached
	// one is used until usableUntil.
	refreshAfter, usableUntil time.Time
}

// hostAddresses returns caller addresses in the order in which to try them, and
// the prefix for new ids. Hosts that failed recently come last; apart from that
// the home host of the prefix comes first if it is in the list.
func (c *Client) hostAddresses(ctx context.Context) (addresses []string, prefix string, err error) {
	d, err := c.currentDirectory(ctx)
	if err != nil {
		return nil, "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, h := range d.hosts {
		addresses = append(addresses, h.Address)
	}
	slices.SortStableFunc(addresses, func(a, b string) int {
		return c.rank(a, now) - c.rank(b, now)
	})
	return addresses, d.idPrefix, nil
}

// rank is 1 for a host that failed within failureWindow, and 0 otherwise.
func (c *Client) rank(address string, now time.Time) int {
	if failedAt, ok := c.lastFailure[address]; ok && now.Sub(failedAt) < failureWindow {
		return 1
	}
	return 0
}

func (c *Client) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, failedAt := range c.lastFailure {
		if now.Sub(failedAt) >= failureWindow {
			delete(c.lastFailure, other)
		}
	}
	c.lastFailure[address] = now
}

// expireDirectory makes the next request fetch the directory again.
func (c *Client) expireDirectory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.refreshAfter = time.Time{}
}

// currentDirectory returns the cached directory, or fetches it when that is due.
func (c *Client) currentDirectory(ctx context.Context) (directory, error) {
	c.mu.Lock()
	cached := c.directory
	c.mu.Unlock()
	now := time.Now()
	if now.Before(cached.refreshAfter) {
		return cached, nil
	}
	for _, address := range c.directoryAddresses(cached) {
		d, err := c.fetchDirectory(ctx, address)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.directory = d
		c.mu.Unlock()
		return d, nil
	}
	if now.Before(cached.usableUntil) {
		return cached, nil
	}
	return directory{}, errors.WithStack(ErrNoHost)
}

// directoryAddresses returns the API addresses to fetch the directory from. Hosts
// of the cached directory come first, since the id prefix in the response then
// names one of them as home host; the seeds come last.
func (c *Client) directoryAddresses(cached directory) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var addresses []string
	for rank := range 2 {
		for _, h := range cached.hosts {
			if c.rank(h.Address, now) == rank {
				addresses = append(addresses, h.APIAddress)
			}
		}
	}
	return append(addresses, c.cfg.Seeds...)
}

// fetchDirectory fetches the directory from one host.
func (c *Client) fetchDirectory(ctx context.Context, address string) (directory, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	directoryURL := c.scheme + "://" + address + "/v1/directory/" + url.PathEscape(c.cfg.Service) + "?zone=" + url.QueryEscape(c.cfg.Zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, directoryURL, nil)
	if err != nil {
		return directory{}, errors.WithStack(err)
	}
	requested := time.Now()
	resp, err := c.cfg.Transport.RoundTrip(req)
	if err != nil {
		return directory{}, errors.Wrap(err, "fetch directory")
	}
	defer resp.Body.Close()
	var response wire.Directory
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDirectoryBytes)).Decode(&response); err != nil {
		return directory{}, errors.Wrap(err, "decode directory")
	}
	if resp.StatusCode != http.StatusOK || len(response.Hosts) == 0 {
		return directory{}, errors.Errorf("unusable directory from %s: status %d, %d hosts", address, resp.StatusCode, len(response.Hosts))
	}
	moveHomeFirst(response)
	return directory{
		hosts:        response.Hosts,
		idPrefix:     response.IDPrefix,
		refreshAfter: requested.Add(time.Duration(response.CacheMillis) * time.Millisecond),
		usableUntil:  requested.Add(prefixLifetime),
	}, nil
}

// moveHomeFirst moves the home host of the id prefix to the front, since any
// other host would forward the request to it.
func moveHomeFirst(response wire.Directory) {
	isHome := func(h wire.DirectoryHost) bool { return strings.HasPrefix(response.IDPrefix, h.ID+".") }
	if i := slices.IndexFunc(response.Hosts, isHome); i > 0 {
		home := response.Hosts[i]
		copy(response.Hosts[1:i+1], response.Hosts[:i])
		response.Hosts[0] = home
	}
}

// newID returns a random request id with the prefix of its home host.
func newID(prefix string) string { return prefix + rand.Text() }
