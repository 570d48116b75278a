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

// defaultTimeout limits one request to a host.
const defaultTimeout = 15 * time.Second

var (
	errNotFound = errors.New("not found")
	// errNoResponse means that the request may have reached the host but no
	// complete response arrived, so that a change may have been made.
	errNoResponse = errors.New("no response from the host")
)

// client sends requests to the API of one host, and fails over to other hosts
// when that one cannot be reached.
type client struct {
	// addresses are the API addresses of the hosts, in the order to try them.
	addresses []string
	// scheme is http or https.
	scheme string
	token  string
	http   http.Client
	// errOut receives one line for each failover.
	errOut io.Writer
}

// argumentAndClient returns the only argument of a command and a client for the
// hosts that the command line names. Usage errors show the description of the
// argument.
func argumentAndClient(cmd *cli.Command, description string) (string, *client, error) {
	arg, err := argument(cmd, description)
	if err != nil {
		return "", nil, err
	}
	c, err := newClient(cmd)
	return arg, c, err
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
		errOut:    cmd.Root().ErrWriter,
	}, nil
}

// apiRequest is one request to the API of a host.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// isChange reports whether the request may change the state of the fleet.
func (r apiRequest) isChange() bool { return r.method != http.MethodGet }

func (r apiRequest) httpRequest(ctx context.Context, c *client, address string) (*http.Request, error) {
	u := url.URL{Scheme: c.scheme, Host: address, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	return req, nil
}

// do sends a request and decodes the response into out. The error is
// errNotFound for status 404, and errNoResponse if the request may have reached
// the host but no complete response arrived.
func (c *client) do(ctx context.Context, req apiRequest, out any) error {
	resp, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(errNoResponse, "%s: %v", resp.Request.URL.Host, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp, data)
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the host's response")
}

// send sends a request and returns the response with its body unread. It fails
// over to the next host when one does not respond; a change fails over only if
// that host cannot have received it. Later requests try the host that responded
// first.
func (c *client) send(ctx context.Context, req apiRequest) (*http.Response, error) {
	var resp *http.Response
	var err error
	for i, address := range c.addresses {
		resp, err = c.sendTo(ctx, req, address)
		if err == nil {
			c.addresses = slices.Concat(c.addresses[i:], c.addresses[:i])
			return resp, nil
		}
		if !c.canFailOver(ctx, req, err) {
			// This host may have made the change, or may still be making it. Pin
			// the client to it, so that no retry reaches another host.
			c.addresses = []string{address}
			return nil, err
		}
		if i+1 < len(c.addresses) {
			fmt.Fprintf(c.errOut, "%v; asking %s instead\n", err, c.addresses[i+1])
		}
	}
	return nil, err
}

// canFailOver reports whether the request may be sent to another host after an
// error.
func (c *client) canFailOver(ctx context.Context, req apiRequest, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return !req.isChange() || !errors.Is(err, errNoResponse)
}

// sendTo sends a request to one host.
func (c *client) sendTo(ctx context.Context, req apiRequest, address string) (*http.Response, error) {
	httpReq, err := req.httpRequest(ctx, c, address)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(httpReq)
	switch {
	case err == nil:
		return resp, nil
	case dialFailed(err):
		return nil, errors.Wrapf(err, "the host %s was not reached", address)
	case req.isChange():
		return nil, errors.Wrapf(errNoResponse, "%s may have made the change: %v", address, err)
	default:
		return nil, errors.Wrapf(errNoResponse, "%s: %v", address, err)
	}
}

// maxReasonBytes limits how much is shown of an error response that is not in
// the format of the API.
const maxReasonBytes = 200

// plainTextReason returns the beginning of a response body that is not JSON,
// such as the response of a server that expects TLS.
func plainTextReason(data []byte) string {
	text := strings.TrimSpace(string(data[:min(len(data), maxReasonBytes)]))
	if text == "" {
		return "the response gives no reason"
	}
	return text
}

// responseError returns the error for a response with a status of 400 or above.
func responseError(resp *http.Response, data []byte) error {
	var failure wire.ErrorResponse
	if err := json.Unmarshal(data, &failure); err != nil || failure.Error == "" {
		failure.Error = plainTextReason(data)
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errors.Wrap(errNotFound, failure.Error)
	case http.StatusUnauthorized:
		return usageError(resp.Status + ": " + failure.Error)
	}
	return errors.Errorf("%s: %s", resp.Status, failure.Error)
}
