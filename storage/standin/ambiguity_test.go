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

func tableAt(t *testing.T, url string, timeout time.Duration) *dynamo.Table {
	t.Helper()
	table, err := dynamo.New(endpoint.Config{
		URL: url, Region: "test", Credentials: testCredentials, Timeout: timeout,
	}, testTable)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// errorAnswer is an answer of the DynamoDB API.
type errorAnswer struct {
	status int
	body   string
}

func apiError(status int, code string) errorAnswer {
	return errorAnswer{status, `{"__type":"com.amazonaws.dynamodb.v20120810#` + code + `","message":"m"}`}
}

func TestTableErrorsSayWhatIsCertain(t *testing.T) {
	for name, test := range map[string]struct {
		answer      errorAnswer
		write, read error
	}{
		"throttled":         {apiError(400, "ThrottlingException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"too much capacity": {apiError(400, "ProvisionedThroughputExceededException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"wrong credentials": {apiError(400, "UnrecognizedClientException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"no such table":     {apiError(400, "ResourceNotFoundException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"validation":        {apiError(400, "ValidationException"), storage.ErrInvalid, storage.ErrInvalid},
		"condition":         {apiError(400, "ConditionalCheckFailedException"), storage.ErrConflict, storage.ErrUnavailable},
		"contention":        {apiError(400, "TransactionConflictException"), storage.ErrUnavailable, storage.ErrUnavailable},
		"in progress":       {apiError(400, "TransactionInProgressException"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"server error":      {apiError(500, "InternalServerError"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"server away":       {apiError(503, "ServiceUnavailable"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"request timeout":   {apiError(408, "RequestTimeout"), storage.ErrAmbiguous, storage.ErrUnavailable},
		"not the service":   {errorAnswer{404, "<html>"}, storage.ErrAmbiguous, storage.ErrUnavailable},
		"redirect":          {errorAnswer{307, ""}, storage.ErrAmbiguous, storage.ErrUnavailable},
		"garbled success":   {errorAnswer{200, `{"Attributes":`}, storage.ErrAmbiguous, storage.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.answer.status)
				_, _ = io.WriteString(w, test.answer.body)
			}))
			defer server.Close()
			table := tableAt(t, server.URL, callTimeout)
			is.True(errors.Is(table.Write(background, put("a", 0, "")), test.write))
			_, err := table.Get(background, storage.Key{Partition: "p", Sort: "a"})
			is.True(errors.Is(err, test.read))
		})
	}
}

func TestRefusedConnectionWroteNothing(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := "http://" + listener.Addr().String()
	is.NoErr(listener.Close())
	table := tableAt(t, url, callTimeout)
	is.True(errors.Is(table.Write(background, put("a", 0, "")), storage.ErrUnavailable))
	is.True(errors.Is(table.Write(background, put("a", 0, ""), put("b", 0, "")), storage.ErrUnavailable))
	cfg := endpoint.Config{URL: url, Region: "test", Credentials: testCredentials}
	objects, err := s3.New(cfg, testBucket)
	is.NoErr(err)
	is.True(errors.Is(objects.PutObject(background, "o", nil), storage.ErrUnavailable))
}

func TestContextDecidesByWhetherTheCallWasSent(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	table := tableAt(t, server.URL, callTimeout)
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-arrived
		cancel()
	}()
	is.True(errors.Is(table.Write(ctx, put("a", 0, "")), storage.ErrAmbiguous))
	// The context has ended before anything could be sent.
	is.True(errors.Is(table.Write(ctx, put("a", 0, "")), storage.ErrUnavailable))
}

func TestSlowWriteThatIsGivenUpTakesEffectLater(t *testing.T) {
	is := is.New(t)
	s, _, url := start(t)
	arrived := make(chan struct{}, 1)
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A write has arrived when all of it has.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		arrived <- struct{}{}
		s.ServeHTTP(w, r)
	}))
	defer slow.Close()
	s.Table.Slow(300 * time.Millisecond)
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-arrived
		cancel()
	}()
	err := tableAt(t, slow.URL, time.Minute).Write(ctx, put("a", 0, ""))
	is.True(errors.Is(err, storage.ErrAmbiguous))
	s.Table.Reset()
	table := tableAt(t, url, callTimeout)
	for range 1000 {
		if _, err = table.Get(background, storage.Key{Partition: "p", Sort: "a"}); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the write never took effect")
}

func TestTransactionIsResolvedByItsToken(t *testing.T) {
	s, _, url := start(t)
	table := tableAt(t, url, callTimeout)
	t.Run("answer lost once", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseAnswers(1)
		is.NoErr(table.Write(background, put("a", 0, "1"), put("b", 0, "1")))
		item, err := table.Get(background, storage.Key{Partition: "p", Sort: "a"})
		is.NoErr(err)
		is.Equal(item.Version, uint64(1))
	})
	t.Run("write lost once", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseWrites(1)
		is.NoErr(table.Write(background, put("c", 0, "1"), put("d", 0, "1")))
	})
	t.Run("write lost and condition failed", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseWrites(1)
		is.True(errors.Is(table.Write(background, put("c", 0, "2"), put("e", 0, "2")), storage.ErrConflict))
	})
	t.Run("one put stays ambiguous", func(t *testing.T) {
		is := is.New(t)
		s.Table.LoseAnswers(1)
		is.True(errors.Is(table.Write(background, put("f", 0, "1")), storage.ErrAmbiguous))
	})
}

func TestContentionIsTriedAgainWithAnotherToken(t *testing.T) {
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
	table := tableAt(t, server.URL, callTimeout)
	is.NoErr(table.Write(background, put("a", 0, ""), put("b", 0, "")))
	is.Equal(len(tokens), 3)
}

func TestWrongCredentialsAreRefused(t *testing.T) {
	is := is.New(t)
	_, _, url := start(t)
	cfg := endpoint.Config{URL: url, Region: "test", Credentials: endpoint.Credentials{AccessKeyID: "wrong", SecretAccessKey: "s"}}
	table, err := dynamo.New(cfg, testTable)
	is.NoErr(err)
	is.True(errors.Is(table.Write(background, put("a", 0, "")), storage.ErrUnavailable))
	objects, err := s3.New(cfg, testBucket)
	is.NoErr(err)
	is.True(errors.Is(objects.PutObject(background, "o", nil), storage.ErrUnavailable))
}

func TestHostListDocumentIsChecked(t *testing.T) {
	for name, document := range map[string]string{
		"not JSON":   `<html>`,
		"no age":     `{"hosts":[]}`,
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
			_, err = list.Hosts(background)
			is.True(errors.Is(err, storage.ErrUnavailable))
		})
	}
}

func TestConfigurationIsChecked(t *testing.T) {
	is := is.New(t)
	good := endpoint.Config{URL: "http://127.0.0.1:1", Region: "test", Credentials: testCredentials}
	is.NoErr(good.Check())
	for _, spoil := range []func(*endpoint.Config){
		func(c *endpoint.Config) { c.URL = "127.0.0.1:1" },
		func(c *endpoint.Config) { c.URL = "" },
		func(c *endpoint.Config) { c.Region = "" },
		func(c *endpoint.Config) { c.Credentials.AccessKeyID = "" },
		func(c *endpoint.Config) { c.Credentials.SecretAccessKey = "" },
	} {
		cfg := good
		spoil(&cfg)
		is.True(cfg.Check() != nil)
	}
	_, err := dynamo.New(good, "")
	is.True(err != nil)
	_, err = s3.New(good, "")
	is.True(err != nil)
	_, err = hostlist.New("host-list", 0)
	is.True(err != nil)
}

func TestObjectErrorsSayWhatIsCertain(t *testing.T) {
	for name, test := range map[string]struct {
		answer errorAnswer
		write  error
	}{
		"rejected":        {errorAnswer{403, `<Error><Code>AccessDenied</Code></Error>`}, storage.ErrUnavailable},
		"slow down":       {errorAnswer{503, `<Error><Code>SlowDown</Code></Error>`}, storage.ErrUnavailable},
		"server error":    {errorAnswer{500, `<Error><Code>InternalError</Code></Error>`}, storage.ErrAmbiguous},
		"not the service": {errorAnswer{404, `<html>`}, storage.ErrAmbiguous},
		"no code":         {errorAnswer{403, `<Error></Error>`}, storage.ErrAmbiguous},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.answer.status)
				_, _ = io.WriteString(w, test.answer.body)
			}))
			defer server.Close()
			objects, err := s3.New(endpoint.Config{URL: server.URL, Region: "test", Credentials: testCredentials}, testBucket)
			is.NoErr(err)
			is.True(errors.Is(objects.PutObject(background, "o", nil), test.write))
		})
	}
}
