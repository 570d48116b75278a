package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
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

// client asks the API of one host.
type client struct {
	address string
	token   string
	http    http.Client
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
	return &client{
		address: cmd.String("api"),
		token:   token,
		http:    http.Client{Timeout: cmd.Duration("timeout")},
	}, nil
}

// question is one call of the API.
type question struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

func (q question) request(ctx context.Context, c *client) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: q.path, RawQuery: q.query.Encode()}
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
		return errors.Wrapf(errNoAnswer, "%s: %v", c.address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return failure(resp, data)
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the host's answer")
}

// send sends a question and returns the answer unread.
func (c *client) send(ctx context.Context, q question) (*http.Response, error) {
	req, err := q.request(ctx, c)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if notSent(err) {
		return nil, errors.Wrap(err, "the host was not reached")
	}
	return nil, errors.Wrapf(errNoAnswer, "%s: %v", c.address, err)
}

// failure turns an answer of the host into an error.
func failure(resp *http.Response, data []byte) error {
	var f wire.Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Error == "" {
		f.Error = "the host answered without a reason"
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errors.Wrap(errNotFound, f.Error)
	case http.StatusUnauthorized:
		return usageError(resp.Status + ": " + f.Error)
	}
	return errors.Errorf("%s: %s", resp.Status, f.Error)
}
