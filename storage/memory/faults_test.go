package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/storage"
)

var testPut = storage.Put{Key: storage.Key{Partition: "p", Sort: "s"}, Value: []byte("v")}

// itemExists reports whether the item of testPut is stored.
func itemExists(t *testing.T, p *Platform) bool {
	t.Helper()
	_, err := p.Get(context.Background(), testPut.Key)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		t.Fatal(err)
	}
	return err == nil
}

func TestDownFaultFailsEveryCallWithoutEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := New()
	p.Faults.SetDown(true)
	is.True(errors.Is(p.Write(ctx, testPut), storage.ErrUnavailable))
	is.True(errors.Is(p.PutObject(ctx, "o", nil), storage.ErrUnavailable))
	_, err := p.Get(ctx, testPut.Key)
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, err = p.Query(ctx, "p", "", 1)
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, err = p.GetObject(ctx, "o")
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, err = p.ListObjects(ctx, "", "", 1)
	is.True(errors.Is(err, storage.ErrUnavailable))
	_, err = p.Hosts(ctx)
	is.True(errors.Is(err, storage.ErrUnavailable))
	p.Faults.SetDown(false)
	is.True(!itemExists(t, p))
	is.NoErr(p.Write(ctx, testPut))
}

func TestLostResponsesAndLostWritesAreBothAmbiguous(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := New()
	p.Faults.LoseWrites(1)
	is.True(errors.Is(p.Write(ctx, testPut), storage.ErrAmbiguous))
	is.True(!itemExists(t, p))
	p.Faults.LoseResponses(2)
	is.True(errors.Is(p.Write(ctx, testPut), storage.ErrAmbiguous))
	is.True(itemExists(t, p))
	// The condition fails now, but this response is lost too.
	is.True(errors.Is(p.Write(ctx, testPut), storage.ErrAmbiguous))
	is.True(errors.Is(p.Write(ctx, testPut), storage.ErrConflict))
}

func TestCanceledSlowWriteIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New()
		p.Faults.SetDelay(3 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(p.Write(ctx, testPut), storage.ErrAmbiguous))
		start := time.Now()
		is.NoErr(p.Write(context.Background(), testPut))
		is.Equal(time.Since(start), 3*time.Second)
	})
}

func TestStaleHostListKeepsLastListing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := New()
	p.SetHosts([]storage.ListedHost{{Address: "127.0.0.1:1"}})
	_, err := p.Hosts(ctx)
	is.NoErr(err)
	p.Faults.SetStale(true)
	p.SetHosts(nil)
	listing, err := p.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(listing.Hosts), 1)
	p.Faults.Reset()
	listing, err = p.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(listing.Hosts), 0)
}
