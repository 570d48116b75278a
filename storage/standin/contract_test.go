package standin_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/dynamo"
	"github.com/crocushinge/crocushinge/storage/endpoint"
	"github.com/crocushinge/crocushinge/storage/fault"
	"github.com/crocushinge/crocushinge/storage/hostlist"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/storage/s3"
	"github.com/crocushinge/crocushinge/storage/standin"
)

const (
	testTable  = "crocushinge"
	testBucket = "ledger"
)

var testCredentials = endpoint.Credentials{AccessKeyID: "key", SecretAccessKey: "secret"}

// callTimeout is the timeout of each call of an adapter under test.
const callTimeout = 2 * time.Second

// platform is a platform under test with its injected faults.
type platform struct {
	storage.Table
	storage.Objects
	storage.HostList
	tableFaults, objectFaults, hostFaults *fault.Set
	setHosts                              func([]storage.ListedHost)
}

// startStandin starts a stand-in whose page size is 3. It returns the stand-in,
// its in-memory store and its URL.
func startStandin(t *testing.T) (*standin.Standin, *memory.Platform, string) {
	t.Helper()
	store := memory.New()
	s := standin.New(standin.Config{
		Table: testTable, Bucket: testBucket, AccessKeyID: testCredentials.AccessKeyID, PageSize: 3,
	}, store)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, store, server.URL
}

// adapterPlatform returns the adapters to a new stand-in.
func adapterPlatform(t *testing.T) platform {
	t.Helper()
	s, store, url := startStandin(t)
	cfg := endpoint.Config{URL: url, Region: "test", Credentials: testCredentials, Timeout: callTimeout}
	table, err := dynamo.New(cfg, testTable)
	if err != nil {
		t.Fatal(err)
	}
	objects, err := s3.New(cfg, testBucket)
	if err != nil {
		t.Fatal(err)
	}
	list, err := hostlist.New(url+standin.HostListPath, callTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return platform{table, objects, list, &s.Table, &s.Objects, &s.HostList, store.SetHosts}
}

// memoryPlatform returns a new in-memory platform.
func memoryPlatform(*testing.T) platform {
	store := memory.New()
	return platform{store, store, store, &store.Faults, &store.Faults, &store.Faults, store.SetHosts}
}

// forEachPlatform runs a test against each implementation of the platform.
func forEachPlatform(t *testing.T, test func(*testing.T, platform)) {
	t.Run("memory", func(t *testing.T) { test(t, memoryPlatform(t)) })
	t.Run("adapters", func(t *testing.T) { test(t, adapterPlatform(t)) })
}

// backgroundCtx is the context of calls that are not canceled.
var backgroundCtx = context.Background()

// put returns a put in the partition "p".
func put(sort string, ifVersion uint64, value string) storage.Put {
	return storage.Put{Key: storage.Key{Partition: "p", Sort: sort}, IfVersion: ifVersion, Value: []byte(value)}
}

// version returns the version of an item in the partition "p", or 0 if there is
// none.
func version(t *testing.T, p platform, sort string) uint64 {
	t.Helper()
	item, err := p.Get(backgroundCtx, storage.Key{Partition: "p", Sort: sort})
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		t.Fatal(err)
	}
	return item.Version
}

func TestWriteChecksVersionConditions(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		_, err := p.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"})
		is.True(errors.Is(err, storage.ErrNotFound))
		is.NoErr(p.Write(backgroundCtx, put("a", 0, "first")))
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 0, "again")), storage.ErrConflict))
		is.NoErr(p.Write(backgroundCtx, put("a", 1, "")))
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 1, "old")), storage.ErrConflict))
		is.True(errors.Is(p.Write(backgroundCtx, put("b", 1, "missing")), storage.ErrConflict))
		item, err := p.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"})
		is.NoErr(err)
		is.Equal(item.Version, uint64(2))
		is.Equal(len(item.Value), 0)
	})
}

func TestTransactionsAreAllOrNothing(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		is.NoErr(p.Write(backgroundCtx, put("a", 0, "1"), put("b", 0, "1")))
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 1, "2"), put("b", 0, "2")), storage.ErrConflict))
		is.Equal(version(t, p, "a"), uint64(1))
		is.NoErr(p.Write(backgroundCtx, put("a", 1, "2"), put("b", 1, "2"), put("c", 0, "1")))
		is.Equal(version(t, p, "b"), uint64(2))
		is.True(errors.Is(p.Write(backgroundCtx, put("d", 0, ""), put("d", 0, "")), storage.ErrInvalid))
		is.True(errors.Is(p.Write(backgroundCtx), storage.ErrInvalid))
	})
}

func TestOneOfSeveralConcurrentWritesSucceeds(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		var group sync.WaitGroup
		var succeeded, conflicted atomic.Int32
		for i := range 8 {
			group.Go(func() {
				err := p.Write(backgroundCtx, put("a", 0, "x"), put(fmt.Sprint("b", i), 0, "x"))
				switch {
				case err == nil:
					succeeded.Add(1)
				case errors.Is(err, storage.ErrConflict):
					conflicted.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(succeeded.Load(), int32(1))
		is.Equal(conflicted.Load(), int32(7))
	})
}

func TestQueryReturnsItemsInOrderAcrossPages(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		for _, i := range []int{5, 3, 8, 1, 0, 7, 2, 6, 4} {
			is.NoErr(p.Write(backgroundCtx, put(fmt.Sprint("s", i), 0, fmt.Sprint(i))))
		}
		is.NoErr(p.Write(backgroundCtx, storage.Put{Key: storage.Key{Partition: "other", Sort: "s3"}}))
		for _, test := range []struct {
			after       string
			limit       int
			first, last string
			count       int
		}{
			{"", 100, "s0", "s8", 9},
			{"", 4, "s0", "s3", 4},
			{"s3", 100, "s4", "s8", 5},
			{"s3x", 3, "s4", "s6", 3},
			{"s8", 10, "", "", 0},
		} {
			items, err := p.Query(backgroundCtx, "p", test.after, test.limit)
			is.NoErr(err)
			is.Equal(len(items), test.count)
			if test.count > 0 {
				is.Equal(items[0].Key.Sort, test.first)
				is.Equal(items[test.count-1].Key.Sort, test.last)
				is.Equal(string(items[0].Value), test.first[1:])
			}
		}
		_, err := p.Query(backgroundCtx, "", "", 1)
		is.True(errors.Is(err, storage.ErrInvalid))
	})
}

func TestObjectsAreStoredAndListed(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		_, err := p.GetObject(backgroundCtx, "day/1")
		is.True(errors.Is(err, storage.ErrNotFound))
		for i := range 7 {
			is.NoErr(p.PutObject(backgroundCtx, fmt.Sprintf("day/%d", i), []byte{byte(i)}))
		}
		is.NoErr(p.PutObject(backgroundCtx, "other/a b+c", nil))
		is.NoErr(p.PutObject(backgroundCtx, "day/3", []byte("longer")))
		data, err := p.GetObject(backgroundCtx, "day/3")
		is.NoErr(err)
		is.Equal(string(data), "longer")
		data, err = p.GetObject(backgroundCtx, "other/a b+c")
		is.NoErr(err)
		is.Equal(len(data), 0)
		names, err := p.ListObjects(backgroundCtx, "day/", "day/1", 4)
		is.NoErr(err)
		is.Equal(names, []string{"day/2", "day/3", "day/4", "day/5"})
		names, err = p.ListObjects(backgroundCtx, "", "", 100)
		is.NoErr(err)
		is.Equal(len(names), 8)
	})
}

func TestStaleHostListKeepsContentAndTime(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		p.setHosts([]storage.ListedHost{{Address: "10.0.0.1:80", Leaving: true}})
		before, err := p.Hosts(backgroundCtx)
		is.NoErr(err)
		is.Equal(len(before.Hosts), 1)
		is.True(before.Hosts[0].Leaving)
		p.hostFaults.SetStale(true)
		p.setHosts(nil)
		stale, err := p.Hosts(backgroundCtx)
		is.NoErr(err)
		is.Equal(len(stale.Hosts), 1)
		is.True(stale.AsOf.Equal(before.AsOf))
		p.hostFaults.SetStale(false)
		after, err := p.Hosts(backgroundCtx)
		is.NoErr(err)
		is.Equal(len(after.Hosts), 0)
		is.True(after.AsOf.After(before.AsOf))
	})
}

func TestThrottledCallsHaveNoEffect(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		p.tableFaults.Throttle(2)
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 0, "")), storage.ErrUnavailable))
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 0, ""), put("b", 0, "")), storage.ErrUnavailable))
		is.Equal(version(t, p, "a"), uint64(0))
		p.objectFaults.Throttle(1)
		is.True(errors.Is(p.PutObject(backgroundCtx, "o", nil), storage.ErrUnavailable))
		_, err := p.GetObject(backgroundCtx, "o")
		is.True(errors.Is(err, storage.ErrNotFound))
		p.hostFaults.Throttle(1)
		_, err = p.Hosts(backgroundCtx)
		is.True(errors.Is(err, storage.ErrUnavailable))
	})
}

// moreThanAttempts is a number of faults that exceeds the attempts of an adapter in
// one call, so that every attempt fails.
const moreThanAttempts = 100

func TestLostResponsesAreAmbiguous(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		p.tableFaults.LoseResponses(moreThanAttempts)
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 0, "")), storage.ErrAmbiguous))
		is.True(errors.Is(p.Write(backgroundCtx, put("b", 0, ""), put("c", 0, "")), storage.ErrAmbiguous))
		p.objectFaults.LoseResponses(moreThanAttempts)
		is.True(errors.Is(p.PutObject(backgroundCtx, "o", nil), storage.ErrAmbiguous))
		p.tableFaults.Reset()
		p.objectFaults.Reset()
		is.Equal(version(t, p, "a"), uint64(1))
		is.Equal(version(t, p, "b"), uint64(1))
		_, err := p.GetObject(backgroundCtx, "o")
		is.NoErr(err)
	})
}

func TestLostWritesAreAmbiguous(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		p.tableFaults.LoseWrites(moreThanAttempts)
		is.True(errors.Is(p.Write(backgroundCtx, put("a", 0, "")), storage.ErrAmbiguous))
		is.True(errors.Is(p.Write(backgroundCtx, put("b", 0, ""), put("c", 0, "")), storage.ErrAmbiguous))
		p.tableFaults.Reset()
		is.Equal(version(t, p, "a"), uint64(0))
		is.Equal(version(t, p, "b"), uint64(0))
	})
}

func TestReadsFailWhileDown(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p platform) {
		is := is.New(t)
		for _, faults := range []*fault.Set{p.tableFaults, p.objectFaults, p.hostFaults} {
			faults.SetDown(true)
		}
		_, err := p.Get(backgroundCtx, storage.Key{Partition: "p", Sort: "a"})
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = p.Query(backgroundCtx, "p", "", 1)
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = p.GetObject(backgroundCtx, "o")
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = p.ListObjects(backgroundCtx, "", "", 1)
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = p.Hosts(backgroundCtx)
		is.True(errors.Is(err, storage.ErrUnavailable))
		for _, faults := range []*fault.Set{p.tableFaults, p.objectFaults, p.hostFaults} {
			faults.Reset()
		}
		is.NoErr(p.Write(backgroundCtx, put("a", 0, "")))
	})
}
