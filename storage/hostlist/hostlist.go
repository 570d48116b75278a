// Package hostlist reads the platform's host list with an HTTP GET request. The list
// is a JSON document:
//
//	{
//	  "as-of": "2026-03-02T10:15:00Z",
//	  "hosts": [
//	    {"address": "10.0.0.1:8080", "leaving": false, "since": "2026-03-01T08:00:00Z"}
//	  ]
//	}
//
// "as-of" is when the platform compiled the list; "since" is when a host was
// added or, if it is leaving, began to leave. Unknown fields are ignored.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/endpoint"
)

// maxDocumentBytes is the largest size of the document.
const maxDocumentBytes = 4 << 20

var _ storage.HostList = (*List)(nil)

// List is a storage.HostList that is read over HTTP. It is safe for concurrent
// use.
type List struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// New returns the host list at a URL. A timeout of 0 means endpoint.DefaultTimeout.
// New fails when the URL is malformed. It sends no request.
func New(url string, timeout time.Duration) (*List, error) {
	if err := endpoint.CheckURL(url); err != nil {
		return nil, errors.Wrap(err, "configure host list")
	}
	return &List{url: url, timeout: timeout, client: endpoint.NewClient(maxDocumentBytes)}, nil
}

// Hosts implements storage.HostList.
func (l *List) Hosts(ctx context.Context) (storage.Listing, error) {
	ctx, cancel := endpoint.Config{Timeout: l.timeout}.WithTimeout(ctx)
	defer cancel()
	listing, err := l.fetch(ctx)
	if err != nil {
		return storage.Listing{}, errors.Wrapf(storage.ErrUnavailable, "read host list: %v", err)
	}
	return listing, nil
}

func (l *List) fetch(ctx context.Context) (storage.Listing, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return storage.Listing{}, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return storage.Listing{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return storage.Listing{}, errors.Errorf("unexpected HTTP status %s", response.Status)
	}
	var listing storage.Listing
	if err := json.NewDecoder(response.Body).Decode(&listing); err != nil {
		return storage.Listing{}, errors.Wrap(err, "parse document")
	}
	return listing, validate(listing)
}

// validate fails when a required field is missing, so that an unrelated document
// is not taken for an empty host list.
func validate(listing storage.Listing) error {
	if listing.AsOf.IsZero() {
		return errors.New(`"as-of" is missing`)
	}
	if listing.Hosts == nil {
		return errors.New(`"hosts" is missing`)
	}
	for i, h := range listing.Hosts {
		if h.Address == "" {
			return errors.Errorf(`entry %d: "address" is missing`, i)
		}
	}
	return nil
}
