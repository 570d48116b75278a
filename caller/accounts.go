package caller

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// accountShards is the number of shards of each index of Accounts. With 26,000 accounts a shard
// has about 100 entries, which is what a change of one account copies.
const accountShards = 256

// Accounts looks accounts up by their secret key or name. It is immutable and safe for concurrent
// use. A nil Accounts has no account.
type Accounts struct {
	// byKey is sharded by the first byte of the digest, and byName by the hash of the name.
	// Versions share the shards and the accounts that are equal in both.
	byKey  [accountShards]map[KeyDigest]*Account
	byName [accountShards]map[string]*Account
	count  int
}

// NewAccounts returns a lookup table of the given accounts. It fails like Update.
func NewAccounts(list []Account) (*Accounts, error) { return (&Accounts{}).Update(list) }

// Authenticate returns the account that the secret key belongs to; nil if it belongs to none.
func (a *Accounts) Authenticate(key string) *Account {
	if a == nil || key == "" {
		return nil
	}
	digest := DigestKey(key)
	return a.byKey[keyShard(digest)][digest]
}

// Named returns the account with the given name; nil if there is none.
func (a *Accounts) Named(name string) *Account {
	if a == nil {
		return nil
	}
	return a.byName[nameShard(name)][name]
}

// All returns the accounts, in no particular order.
func (a *Accounts) All() iter.Seq[*Account] {
	return func(yield func(*Account) bool) {
		if a == nil {
			return
		}
		for _, shard := range a.byName {
			for _, account := range shard {
				if !yield(account) {
					return
				}
			}
		}
	}
}

// Len returns the number of accounts.
func (a *Accounts) Len() int {
	if a == nil {
		return 0
	}
	return a.count
}

func keyShard(digest KeyDigest) int { return int(digest[0]) }

func nameShard(name string) int { return int(NewAccountHash(name) % accountShards) }

// Update returns a table of the given accounts, which it sorts by name. The table shares with this
// one what has not changed. Update fails if two accounts have the same name or a key in common.
func (a *Accounts) Update(list []Account) (*Accounts, error) {
	slices.SortFunc(list, compareNames)
	var added, removed []*Account
	kept := 0
	for i := range list {
		account := &list[i]
		if i > 0 && list[i-1].Name == account.Name {
			return nil, errors.Errorf("two accounts have the name %q", account.Name)
		}
		known := a.Named(account.Name)
		if known != nil && known.equal(account) {
			kept++
			continue
		}
		if known != nil {
			removed = append(removed, known)
		}
		added = append(added, new(*account)) // a pointer into the list would keep all of it in memory
	}
	if kept+len(removed) < a.Len() {
		removed = append(removed, a.missing(list)...)
	}
	if a != nil && len(added)+len(removed) == 0 {
		return a, nil
	}
	return a.replace(removed, added)
}

func compareNames(a, b Account) int { return cmp.Compare(a.Name, b.Name) }

// missing returns the accounts that are not in the list, which is sorted by name.
func (a *Accounts) missing(list []Account) []*Account {
	var out []*Account
	for _, shard := range a.byName {
		for _, account := range shard {
			if _, found := slices.BinarySearchFunc(list, *account, compareNames); !found {
				out = append(out, account)
			}
		}
	}
	return out
}

// replace returns the table with accounts removed and then others added.
func (a *Accounts) replace(removed, added []*Account) (*Accounts, error) {
	next := new(Accounts)
	if a != nil {
		*next = *a
	}
	var keysCopied, namesCopied [accountShards]bool
	keys := func(digest KeyDigest) map[KeyDigest]*Account {
		return writable(&next.byKey, &keysCopied, keyShard(digest))
	}
	names := func(name string) map[string]*Account { return writable(&next.byName, &namesCopied, nameShard(name)) }
	for _, account := range removed {
		delete(names(account.Name), account.Name)
		for _, digest := range account.Keys {
			delete(keys(digest), digest)
		}
	}
	for _, account := range added {
		names(account.Name)[account.Name] = account
		for _, digest := range account.Keys {
			shard := keys(digest)
			if owner := shard[digest]; owner != nil && owner != account {
				return nil, errors.Errorf("accounts %q and %q have a key in common", min(owner.Name, account.Name), max(owner.Name, account.Name))
			}
			shard[digest] = account
		}
	}
	next.count = a.Len() - len(removed) + len(added)
	return next, nil
}

// writable returns a shard of an index for writing. It copies a shard at the first call, since
// earlier tables share it.
func writable[K comparable](index *[accountShards]map[K]*Account, copied *[accountShards]bool, shard int) map[K]*Account {
	if !copied[shard] {
		copied[shard] = true
		if index[shard] == nil {
			index[shard] = make(map[K]*Account)
		} else {
			index[shard] = maps.Clone(index[shard])
		}
	}
	return index[shard]
}
