package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/crocushinge/crocushinge/wire"
)

// defaultTimeout limits one question to the host.
const defaultTimeout = 15 * time.Second

var (
	errNotFound = errors.New("not found")
	// errNoAnswer means that the question was sent and no answer came, so that
	// a change may have been made.
	errNoAnswer = errors.New("no answer from the host")
)

// client asks the API of one host, or of the next when that cannot be reached.
type client struct {
	// addresses are the hosts to ask, the first before the others.
	addresses []string
	// scheme is http or https.
	scheme string
	token  string
	http   http.Client
	// notes takes a line when another host is asked.
	notes io.Writer
}

// argumentAndClient returns the one argument of a command, described by what,
// and a client of the host that the command asks.
func argumentAndClient(cmd *cli.Command, what string) (string, *client, error) {
	text, err := argument(cmd, what)
	if err != nil {
		return "", nil, err
	}
	c, err := newClient(cmd)
	return text, c, err
}

func newClient(cmd *cli.Command) (*client, error) {
	token := cmd.String("token")
	if file := cmd.String("token-file"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read the operator token")
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usageError("no operator token: give --token-file, or set CROCUSHINGE_TOKEN_FILE or CROCUSHINGE_TOKEN")
	}
	addresses := cmd.StringSlice("api")
	if len(addresses) == 0 {
		return nil, usageError("no address: give --api, or set CROCUSHINGE_API")
	}
	scheme, transport, err := newTransport(cmd.String("ca"))
	if err != nil {
		return nil, exitError{code: exitUsage, err: err}
	}
	return &client{
		addresses: slices.Clone(addresses),
		scheme:    scheme,
		token:     token,
		http:      http.Client{Timeout: cmd.Duration("timeout"), Transport: transport},
		notes:     cmd.Root().ErrWriter,
	}, nil
}

// question is one call of the API.
type question struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// changes reports whether the question may change something.
func (q question) changes() bool { return q.method != http.MethodGet }

func (q question) request(ctx context.Context, c *client, address string) (*http.Request, error) {
	u := url.URL{Scheme: c.scheme, Host: address, Path: q.path, RawQuery: q.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, q.method, u.String(), bytes.NewReader(q.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	return req, nil
}

// ask sends a question and decodes the answer into out. It fails with
// errNotFound, or with errNoAnswer once the question may have reached the
// host.
func (c *client) ask(ctx context.Context, q question, out any) error {
	resp, err := c.send(ctx, q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(errNoAnswer, "%s: %v", resp.Request.URL.Host, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return failure(resp, data)
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the host's answer")
}

// send sends a question and returns the answer unread. It turns to the next
// host when one gives no answer; with a change, only when that host cannot have
// seen it. The host that answered is asked first from then on.
func (c *client) send(ctx context.Context, q question) (*http.Response, error) {
	var resp *http.Response
	var err error
	for i, address := range c.addresses {
		resp, err = c.sendTo(ctx, q, address)
		if err == nil {
			c.addresses = slices.Concat(c.addresses[i:], c.addresses[:i])
			return resp, nil
		}
		if !c.mayAskNext(ctx, q, err) {
			// A change may be under way there, so that no other host is asked.
			c.addresses = []string{address}
			return nil, err
		}
		if i+1 < len(c.addresses) {
			fmt.Fprintf(c.notes, "%v; asking %s instead\n", err, c.addresses[i+1])
		}
	}
	return nil, err
}

// mayAskNext reports whether another host may be asked after an error.
func (c *client) mayAskNext(ctx context.Context, q question, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return !q.changes() || !errors.Is(err, errNoAnswer)
}

// sendTo sends a question to one host.
func (c *client) sendTo(ctx context.Context, q question, address string) (*http.Response, error) {
	req, err := q.request(ctx, c, address)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case notSent(err):
		return nil, errors.Wrapf(err, "the host %s was not reached", address)
	case q.changes():
		return nil, errors.Wrapf(errNoAnswer, "%s may have made the change: %v", address, err)
	default:
		return nil, errors.Wrapf(errNoAnswer, "%s: %v", address, err)
	}
}

// maxReason limits the text of an answer that is no answer of a host, in bytes.
const maxReason = 200

// plainReason returns the text of an answer that is not JSON, such as that of a
// server that expects TLS.
func plainReason(data []byte) string {
	text := strings.TrimSpace(string(data[:min(len(data), maxReason)]))
	if text == "" {
		return "the host answered without a reason"
	}
	return text
}

// failure turns an answer of the host into an error.
func failure(resp *http.Response, data []byte) error {
	var f wire.ErrorResponse
	if err := json.Unmarshal(data, &f); err != nil || f.Error == "" {
		f.Error = plainReason(data)
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errors.Wrap(errNotFound, f.Error)
	case http.StatusUnauthorized:
		return usageError(resp.Status + ": " + f.Error)
	}
	return errors.Errorf("%s: %s", resp.Status, f.Error)
}
