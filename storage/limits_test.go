package storage_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/storage"
)

func TestCheckPutsEnforcesLimits(t *testing.T) {
	key := func(sort string) storage.Key { return storage.Key{Partition: "p", Sort: sort} }
	smallPuts := make([]storage.Put, storage.MaxPuts+1)
	largePuts := make([]storage.Put, 11)
	for i := range smallPuts {
		smallPuts[i].Key = key(strings.Repeat("s", i+1))
	}
	for i := range largePuts {
		largePuts[i] = storage.Put{Key: key(strings.Repeat("s", i+1)), Value: make([]byte, storage.MaxItemBytes-1024)}
	}
	for name, test := range map[string]struct {
		puts []storage.Put
		ok   bool
	}{
		"one item":                {smallPuts[:1], true},
		"largest number of items": {smallPuts[:storage.MaxPuts], true},
		"no items":                {nil, false},
		"too many items":          {smallPuts, false},
		"item twice":              {[]storage.Put{{Key: key("a")}, {Key: key("a")}}, false},
		"no sort key":             {[]storage.Put{{Key: key("")}}, false},
		"no partition key":        {[]storage.Put{{Key: storage.Key{Sort: "s"}}}, false},
		"sort key too long":       {[]storage.Put{{Key: key(strings.Repeat("s", storage.MaxSortKeyBytes+1))}}, false},
		"value too large":         {[]storage.Put{{Key: key("a"), Value: make([]byte, storage.MaxItemBytes)}}, false},
		"largest write":           {largePuts[:10], true},
		"write is too large":      {largePuts, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := storage.CheckPuts(test.puts)
			is.Equal(err == nil, test.ok)
			is.True(err == nil || errors.Is(err, storage.ErrInvalid))
		})
	}
}

func TestCheckObjectEnforcesLimits(t *testing.T) {
	is := is.New(t)
	is.NoErr(storage.CheckObject("name", nil))
	is.True(errors.Is(storage.CheckObject("", nil), storage.ErrInvalid))
	is.True(errors.Is(storage.CheckObject("name", make([]byte, storage.MaxObjectBytes+1)), storage.ErrInvalid))
}
