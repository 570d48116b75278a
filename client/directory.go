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
	// askTimeout limits one question to the directory.
	askTimeout = time.Second
	// maxDirectory limits an answer, in bytes.
	maxDirectory = 1 << 20
	// failedFor is how long a host that failed is tried last.
	failedFor = 5 * time.Second
	// prefixFor is how long an id prefix is used when the directory cannot be
	// asked; ids of it live longer.
	prefixFor = caller.IDLifetime / 2
)

// directory is an answer of the caller directory.
type directory struct {
	hosts  []wire.DirectoryHost
	prefix string
	// expires is when the answer must be asked for again, and stale when it
	// cannot be used at all any more.
	expires, stale time.Time
}

// hosts returns caller addresses in the order in which to try them, and the
// prefix of new ids, whose home comes first when it is among the hosts.
func (c *Client) hosts(ctx context.Context) (addresses []string, prefix string, err error) {
	d, err := c.current(ctx)
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
	return addresses, d.prefix, nil
}

// rank is 1 for a host that failed lately, and 0 otherwise.
func (c *Client) rank(address string, now time.Time) int {
	if at, ok := c.failed[address]; ok && now.Sub(at) < failedFor {
		return 1
	}
	return 0
}

func (c *Client) noteFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, at := range c.failed {
		if now.Sub(at) >= failedFor {
			delete(c.failed, other)
		}
	}
	c.failed[address] = now
}

// forget makes the next request ask the directory again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.expires = time.Time{}
}

// current returns the kept answer, or a new one after its time.
func (c *Client) current(ctx context.Context) (directory, error) {
	c.mu.Lock()
	kept := c.directory
	c.mu.Unlock()
	now := time.Now()
	if now.Before(kept.expires) {
		return kept, nil
	}
	for _, address := range c.sources(kept) {
		d, err := c.ask(ctx, address)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.directory = d
		c.mu.Unlock()
		return d, nil
	}
	if now.Before(kept.stale) {
		return kept, nil
	}
	return directory{}, errors.WithStack(ErrNoHost)
}

// sources returns the API addresses to ask: the hosts in use, whose prefix
// then names one of them as home, and the seeds after them.
func (c *Client) sources(kept directory) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []string
	for rank := range 2 {
		for _, h := range kept.hosts {
			if c.rank(h.Address, now) == rank {
				out = append(out, h.APIAddress)
			}
		}
	}
	return append(out, c.cfg.Seeds...)
}

// ask asks one host.
func (c *Client) ask(ctx context.Context, address string) (directory, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := c.scheme + "://" + address + "/v1/directory/" + url.PathEscape(c.cfg.Service) + "?zone=" + url.QueryEscape(c.cfg.Zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, question, nil)
	if err != nil {
		return directory{}, errors.WithStack(err)
	}
	asked := time.Now()
	resp, err := c.cfg.Transport.RoundTrip(req)
	if err != nil {
		return directory{}, errors.Wrap(err, "ask the directory")
	}
	defer resp.Body.Close()
	var answer wire.Directory
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDirectory)).Decode(&answer); err != nil {
		return directory{}, errors.Wrap(err, "ask the directory")
	}
	if resp.StatusCode != http.StatusOK || len(answer.Hosts) == 0 {
		return directory{}, errors.Errorf("directory at %s: status %d, %d hosts", address, resp.StatusCode, len(answer.Hosts))
	}
	homeFirst(answer)
	return directory{
		hosts:   answer.Hosts,
		prefix:  answer.IDPrefix,
		expires: asked.Add(time.Duration(answer.KeepMillis) * time.Millisecond),
		stale:   asked.Add(prefixFor),
	}, nil
}

// homeFirst moves the home of the id prefix to the front, since any other host
// would forward to it.
func homeFirst(answer wire.Directory) {
	isHome := func(h wire.DirectoryHost) bool { return strings.HasPrefix(answer.IDPrefix, h.ID+".") }
	if i := slices.IndexFunc(answer.Hosts, isHome); i > 0 {
		home := answer.Hosts[i]
		copy(answer.Hosts[1:i+1], answer.Hosts[:i])
		answer.Hosts[0] = home
	}
}

// newID returns a new id with a home.
func newID(prefix string) string { return prefix + rand.Text() }
