package standin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/dynamo"
	"github.com/crocushinge/crocushinge/storage/endpoint"
	"github.com/crocushinge/crocushinge/storage/hostlist"
	"github.com/crocushinge/crocushinge/storage/s3"
)

// newTable returns the adapter to a table service at a URL.
func newTable(t *testing.T, url string, timeout time.Duration) *dynamo.Table {
	t.Helper()
	table, err := dynamo.New(endpoint.Config{
		URL: url, Region: "test", Credentials: testCredentials, Timeout: timeout,
	}, testTable)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// errorResponse is a response with which a service fails a call.
type errorResponse struct {
	status int
	body   string
}

// apiError returns an error response of the DynamoDB API.
func apiError(status int, code string) errorResponse {
	return errorResponse{status, `{"__type":"com.amazonaws.dynamodb.v20120810#` + code + `","message":"m"}`}
}

// A write may fail with ErrUnavailable, ErrConflict or ErrInvalid only if it
// cannot have had an effect. After a response that may come from a proxy, or from a
// service that failed halfway, it must fail with ErrAmbiguous.
func TestTableErrorsTellWhetherAWriteHadNoEffect(t *testing.T) {
	for name, test := range map[string]struct {
		response    errorResponse
		write, read error
	}{
		"throttled":          {apiError(400, "ThrottlingException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"too much capacity":  {apiError(400, "ProvisionedThroughputExceededException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"wrong credentials":  {apiError(400, "UnrecognizedClientException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"unknown table":      {apiError(400, "ResourceNotFoundException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"validation":         {apiError(400, "ValidationException"), storage.ErrInvalid, storage.ErrInvalid},
		"condition":          {apiError(400, "ConditionalCheckFailedException"), storage.ErrConflict, storage.ErrUnavailable},
		"contention":         {apiError(400, "TransactionConflictException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"in progress":        {apiError(400, "TransactionInProgressException"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"server error":       {apiError(500, "InternalServerError"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"server unavailable": {apiError(503, "ServiceUnavailable"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"request timeout":    {apiError(408, "RequestTimeout"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"not the service":    {errorResponse{404, "<html>"}, storage.ErrAmbiguous, storage.ErrUnavailable},
		"redirect":           {errorResponse{307, ""}, storage.ErrAmbiguous, storage.ErrUnavailable},
		"garbled success":    {errorResponse{200, `{"Attributes":`}, storage.ErrAmbiguous, storage.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.response.status)
				_, _ = io.WriteString(w, test.response.body)
			}))
			defer server.Close()
			table := newTable(t, server.URL, callTimeout)
			is.True(errors.Is(table.Write(backgroundCtx, put("a", 0, "")), test.write))
			_, err := table.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"})
			is.True(errors.Is(err, test.read))
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := "http://" + listener.Addr().String()
	is.NoErr(listener.Close())
	table := newTable(t, url, callTimeout)
	is.True(errors.Is(table.Write(backgroundCtx, put("a", 0, "")), storage.ErrUnavailable))
	is.True(errors.Is(table.Write(backgroundCtx, put("a", 0, ""), put("b", 0, "")), storage.ErrUnavailable))
	cfg := endpoint.Config{URL: url, Region: "test", Credentials: testCredentials}
	objects, err := s3.New(cfg, testBucket)
	is.NoErr(err)
	is.True(errors.Is(objects.PutObject(backgroundCtx, "o", nil), storage.ErrUnavailable))
}

// A write whose context ends fails with ErrAmbiguous if the write was sent, and with
// ErrUnavailable otherwise.
func TestCanceledWriteIsAmbiguousOnlyIfSent(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	table := newTable(t, server.URL, callTimeout)
	ctx, cancel := context.WithCancel(backgroundCtx)
	go func() {
		<-arrived
		cancel()
	}()
	is.True(errors.Is(table.Write(ctx, put("a", 0, "")), storage.ErrAmbiguous))
	// The context ended before anything was sent.
	is.True(errors.Is(table.Write(ctx, put("a", 0, "")), storage.ErrUnavailable))
}

func TestCanceledSlowWriteTakesEffectLater(t *testing.T) {
	is := is.New(t)
	s, _, url := startStandin(t)
	arrived := make(chan struct{}, 1)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Read the whole body first: the write must have arrived completely
		// before it is canceled.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		arrived <- struct{}{}
		s.ServeHTTP(w, r)
	}))
	defer proxy.Close()
	s.Table.SetDelay(300 * time.Millisecond)
	ctx, cancel := context.WithCancel(backgroundCtx)
	go func() {
		<-arrived
		cancel()
	}()
	err := newTable(t, proxy.URL, time.Minute).Write(ctx, put("a", 0, ""))
	is.True(errors.Is(err, storage.ErrAmbiguous))
	s.Table.Reset()
	table := newTable(t, url, callTimeout)
	for range 1000 {
		if _, err = table.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"}); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the write never took effect")
}

// When a response is lost, the adapter repeats the transaction with the same
// client request token to learn the result. A write of one item has no token.
func TestLostTransactionIsRepeatedWithTheSameToken(t *testing.T) {
	s, _, url := startStandin(t)
	table := newTable(t, url, callTimeout)
	t.Run("response lost once", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseResponses(1)
		is.NoErr(table.Write(backgroundCtx, put("a", 0, "1"), put("b", 0, "1")))
		item, err := table.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"})
		is.NoErr(err)
		is.Equal(item.Version, uint64(1))
	})
	t.Run("write lost once", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseWrites(1)
		is.NoErr(table.Write(backgroundCtx, put("c", 0, "1"), put("d", 0, "1")))
	})
	t.Run("write lost and condition failed", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseWrites(1)
		is.True(errors.Is(table.Write(backgroundCtx, put("c", 0, "2"), put("e", 0, "2")), storage.ErrConflict))
	})
	t.Run("one put stays ambiguous", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseResponses(1)
		is.True(errors.Is(table.Write(backgroundCtx, put("f", 0, "1")), storage.ErrAmbiguous))
	})
}

func TestContentionIsRetriedWithANewToken(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	tokens := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, token, _ := strings.Cut(string(body), `"ClientRequestToken":"`)
		mu.Lock()
		defer mu.Unlock()
		tokens[token[:36]] = true
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		if len(tokens) < 3 {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
				"message":"m","CancellationReasons":[{"Code":"None"},{"Code":"TransactionConflict"}]}`)
			return
		}
		_, _ = io.WriteString(w, `{}`)
	}))
	defer server.Close()
	table := newTable(t, server.URL, callTimeout)
	is.NoErr(table.Write(backgroundCtx, put("a", 0, ""), put("b", 0, "")))
	is.Equal(len(tokens), 3)
}

func TestWrongAccessKeyIsRejected(t *testing.T) {
	is := is.New(t)
	_, _, url := startStandin(t)
	cfg := endpoint.Config{URL: url, Region: "test", Credentials: endpoint.Credentials{AccessKeyID: "wrong", SecretAccessKey: "s"}}
	table, err := dynamo.New(cfg, testTable)
	is.NoErr(err)
	is.True(errors.Is(table.Write(backgroundCtx, put("a", 0, "")), storage.ErrUnavailable))
	objects, err := s3.New(cfg, testBucket)
	is.NoErr(err)
	is.True(errors.Is(objects.PutObject(backgroundCtx, "o", nil), storage.ErrUnavailable))
}

func TestInvalidHostListDocumentIsRejected(t *testing.T) {
	for name, document := range map[string]string{
		"not JSON":   `<html>`,
		"no time":    `{"hosts":[]}`,
		"no hosts":   `{"as-of":"2026-03-02T10:15:00Z"}`,
		"no address": `{"as-of":"2026-03-02T10:15:00Z","hosts":[{"leaving":true}]}`,
		"too large":  `{"as-of":"2026-03-02T10:15:00Z","hosts":[` + strings.Repeat(" ", 5<<20) + `]}`,
		"truncated":  `{"as-of":"2026-03-02T10:15:00Z","hosts":[`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, document)
			}))
			defer server.Close()
			list, err := hostlist.New(server.URL, 0)
			is.NoErr(err)
			_, err = list.Hosts(backgroundCtx)
			is.True(errors.Is(err, storage.ErrUnavailable))
		})
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	valid := endpoint.Config{URL: "http://127.0.0.1:1", Region: "test", Credentials: testCredentials}
	is.NoErr(valid.Check())
	for _, invalidate := range []func(*endpoint.Config){
		func(c *endpoint.Config) { c.URL = "127.0.0.1:1" },
		func(c *endpoint.Config) { c.URL = "" },
		func(c *endpoint.Config) { c.Region = "" },
		func(c *endpoint.Config) { c.Credentials.AccessKeyID = "" },
		func(c *endpoint.Config) { c.Credentials.SecretAccessKey = "" },
	} {
		cfg := valid
		invalidate(&cfg)
		is.True(cfg.Check() != nil)
	}
	_, err := dynamo.New(valid, "")
	is.True(err != nil)
	_, err = s3.New(valid, "")
	is.True(err != nil)
	_, err = hostlist.New("host-list", 0)
	is.True(err != nil)
}

// A write to the object store, too, may fail with ErrUnavailable or ErrInvalid only if
// it cannot have had an effect.
func TestObjectErrorsTellWhetherAWriteHadNoEffect(t *testing.T) {
	for name, test := range map[string]struct {
		response errorResponse
		write    error
	}{
		"rejected":        {errorResponse{403, `<Error><Code>AccessDenied</Code></Error>`}, storage.ErrUnavailable},
		"slow down":       {errorResponse{503, `<Error><Code>SlowDown</Code></Error>`}, storage.ErrUnavailable},
		"server error":    {errorResponse{500, `<Error><Code>InternalError</Code></Error>`}, storage.ErrAmbiguous},
		"not the service": {errorResponse{404, `<html>`}, storage.ErrAmbiguous},
		"no code":         {errorResponse{403, `<Error></Error>`}, storage.ErrAmbiguous},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.response.status)
				_, _ = io.WriteString(w, test.response.body)
			}))
			defer server.Close()
			objects, err := s3.New(endpoint.Config{URL: server.URL, Region: "test", Credentials: testCredentials}, testBucket)
			is.NoErr(err)
			is.True(errors.Is(objects.PutObject(backgroundCtx, "o", nil), test.write))
		})
	}
}
