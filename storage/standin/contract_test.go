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

// callTimeout bounds each call of an adapter under test.
const callTimeout = 2 * time.Second

// services is one platform under test, with its faults.
type services struct {
	storage.Table
	storage.Objects
	storage.HostList
	tableFaults, objectFaults, hostFaults *fault.Set
	setHosts                              func([]storage.ListedHost)
}

// start returns a stand-in with small pages, and its address.
func start(t *testing.T) (*standin.Standin, *memory.Platform, string) {
	t.Helper()
	store := memory.New()
	s := standin.New(standin.Config{
		Table: testTable, Bucket: testBucket, AccessKeyID: testCredentials.AccessKeyID, Page: 3,
	}, store)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, store, server.URL
}

func adapters(t *testing.T) services {
	t.Helper()
	s, store, url := start(t)
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
	return services{table, objects, list, &s.Table, &s.Objects, &s.HostList, store.SetHosts}
}

func inMemory(*testing.T) services {
	store := memory.New()
	return services{store, store, store, &store.Faults, &store.Faults, &store.Faults, store.SetHosts}
}

// eachPlatform runs a test against every platform.
func eachPlatform(t *testing.T, test func(*testing.T, services)) {
	t.Run("memory", func(t *testing.T) { test(t, inMemory(t)) })
	t.Run("adapters", func(t *testing.T) { test(t, adapters(t)) })
}

var background = context.Background()

func put(sort string, ifVersion uint64, value string) storage.Put {
	return storage.Put{Key: storage.Key{Partition: "p", Sort: sort}, IfVersion: ifVersion, Value: []byte(value)}
}

func version(t *testing.T, s services, sort string) uint64 {
	t.Helper()
	item, err := s.Get(background, storage.Key{Partition: "p", Sort: sort})
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		t.Fatal(err)
	}
	return item.Version
}

func TestConditionalWrites(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		_, err := s.Get(background, storage.Key{Partition: "p", Sort: "a"})
		is.True(errors.Is(err, storage.ErrNotFound))
		is.NoErr(s.Write(background, put("a", 0, "first")))
		is.True(errors.Is(s.Write(background, put("a", 0, "again")), storage.ErrConflict))
		is.NoErr(s.Write(background, put("a", 1, "")))
		is.True(errors.Is(s.Write(background, put("a", 1, "old")), storage.ErrConflict))
		is.True(errors.Is(s.Write(background, put("b", 1, "missing")), storage.ErrConflict))
		item, err := s.Get(background, storage.Key{Partition: "p", Sort: "a"})
		is.NoErr(err)
		is.Equal(item.Version, uint64(2))
		is.Equal(len(item.Value), 0)
	})
}

func TestTransactionsAreAllOrNothing(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		is.NoErr(s.Write(background, put("a", 0, "1"), put("b", 0, "1")))
		is.True(errors.Is(s.Write(background, put("a", 1, "2"), put("b", 0, "2")), storage.ErrConflict))
		is.Equal(version(t, s, "a"), uint64(1))
		is.NoErr(s.Write(background, put("a", 1, "2"), put("b", 1, "2"), put("c", 0, "1")))
		is.Equal(version(t, s, "b"), uint64(2))
		is.True(errors.Is(s.Write(background, put("d", 0, ""), put("d", 0, "")), storage.ErrInvalid))
		is.True(errors.Is(s.Write(background), storage.ErrInvalid))
	})
}

func TestRacingWritesHaveOneWinner(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		var group sync.WaitGroup
		var won, lost atomic.Int32
		for i := range 8 {
			group.Go(func() {
				err := s.Write(background, put("a", 0, "x"), put(fmt.Sprint("b", i), 0, "x"))
				switch {
				case err == nil:
					won.Add(1)
				case errors.Is(err, storage.ErrConflict):
					lost.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(won.Load(), int32(1))
		is.Equal(lost.Load(), int32(7))
	})
}

func TestQueryOrdersAndPages(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		for _, i := range []int{5, 3, 8, 1, 0, 7, 2, 6, 4} {
			is.NoErr(s.Write(background, put(fmt.Sprint("s", i), 0, fmt.Sprint(i))))
		}
		is.NoErr(s.Write(background, storage.Put{Key: storage.Key{Partition: "other", Sort: "s3"}}))
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
			items, err := s.Query(background, "p", test.after, test.limit)
			is.NoErr(err)
			is.Equal(len(items), test.count)
			if test.count > 0 {
				is.Equal(items[0].Key.Sort, test.first)
				is.Equal(items[test.count-1].Key.Sort, test.last)
				is.Equal(string(items[0].Value), test.first[1:])
			}
		}
		_, err := s.Query(background, "", "", 1)
		is.True(errors.Is(err, storage.ErrInvalid))
	})
}

func TestObjects(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		_, err := s.GetObject(background, "day/1")
		is.True(errors.Is(err, storage.ErrNotFound))
		for i := range 7 {
			is.NoErr(s.PutObject(background, fmt.Sprintf("day/%d", i), []byte{byte(i)}))
		}
		is.NoErr(s.PutObject(background, "other/a b+c", nil))
		is.NoErr(s.PutObject(background, "day/3", []byte("longer")))
		data, err := s.GetObject(background, "day/3")
		is.NoErr(err)
		is.Equal(string(data), "longer")
		data, err = s.GetObject(background, "other/a b+c")
		is.NoErr(err)
		is.Equal(len(data), 0)
		names, err := s.ListObjects(background, "day/", "day/1", 4)
		is.NoErr(err)
		is.Equal(names, []string{"day/2", "day/3", "day/4", "day/5"})
		names, err = s.ListObjects(background, "", "", 100)
		is.NoErr(err)
		is.Equal(len(names), 8)
	})
}

func TestHostListKeepsItsAgeWhileStale(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		s.setHosts([]storage.ListedHost{{Address: "10.0.0.1:80", Leaving: true}})
		before, err := s.Hosts(background)
		is.NoErr(err)
		is.Equal(len(before.Hosts), 1)
		is.True(before.Hosts[0].Leaving)
		s.hostFaults.Stale(true)
		s.setHosts(nil)
		stale, err := s.Hosts(background)
		is.NoErr(err)
		is.Equal(len(stale.Hosts), 1)
		is.True(stale.AsOf.Equal(before.AsOf))
		s.hostFaults.Stale(false)
		after, err := s.Hosts(background)
		is.NoErr(err)
		is.Equal(len(after.Hosts), 0)
		is.True(after.AsOf.After(before.AsOf))
	})
}

func TestThrottledCallsHaveNoEffect(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		s.tableFaults.Throttle(2)
		is.True(errors.Is(s.Write(background, put("a", 0, "")), storage.ErrUnavailable))
		is.True(errors.Is(s.Write(background, put("a", 0, ""), put("b", 0, "")), storage.ErrUnavailable))
		is.Equal(version(t, s, "a"), uint64(0))
		s.objectFaults.Throttle(1)
		is.True(errors.Is(s.PutObject(background, "o", nil), storage.ErrUnavailable))
		_, err := s.GetObject(background, "o")
		is.True(errors.Is(err, storage.ErrNotFound))
		s.hostFaults.Throttle(1)
		_, err = s.Hosts(background)
		is.True(errors.Is(err, storage.ErrUnavailable))
	})
}

// many is more faults than an adapter tries to get past.
const many = 100

func TestLostAnswersAreAmbiguous(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		s.tableFaults.LoseAnswers(many)
		is.True(errors.Is(s.Write(background, put("a", 0, "")), storage.ErrAmbiguous))
		is.True(errors.Is(s.Write(background, put("b", 0, ""), put("c", 0, "")), storage.ErrAmbiguous))
		s.objectFaults.LoseAnswers(many)
		is.True(errors.Is(s.PutObject(background, "o", nil), storage.ErrAmbiguous))
		s.tableFaults.Reset()
		s.objectFaults.Reset()
		is.Equal(version(t, s, "a"), uint64(1))
		is.Equal(version(t, s, "b"), uint64(1))
		_, err := s.GetObject(background, "o")
		is.NoErr(err)
	})
}

func TestLostWritesAreAmbiguous(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		s.tableFaults.LoseWrites(many)
		is.True(errors.Is(s.Write(background, put("a", 0, "")), storage.ErrAmbiguous))
		is.True(errors.Is(s.Write(background, put("b", 0, ""), put("c", 0, "")), storage.ErrAmbiguous))
		s.tableFaults.Reset()
		is.Equal(version(t, s, "a"), uint64(0))
		is.Equal(version(t, s, "b"), uint64(0))
	})
}

func TestReadsFailWhileDown(t *testing.T) {
	eachPlatform(t, func(t *testing.T, s services) {
		is := is.New(t)
		for _, faults := range []*fault.Set{s.tableFaults, s.objectFaults, s.hostFaults} {
			faults.Down(true)
		}
		_, err := s.Get(background, storage.Key{Partition: "p", Sort: "a"})
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = s.Query(background, "p", "", 1)
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = s.GetObject(background, "o")
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = s.ListObjects(background, "", "", 1)
		is.True(errors.Is(err, storage.ErrUnavailable))
		_, err = s.Hosts(background)
		is.True(errors.Is(err, storage.ErrUnavailable))
		for _, faults := range []*fault.Set{s.tableFaults, s.objectFaults, s.hostFaults} {
			faults.Reset()
		}
		is.NoErr(s.Write(background, put("a", 0, "")))
	})
}
