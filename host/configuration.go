package host

import (
	"sort"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/timeline"
)

// configurationRead puts the changes in force that are newer than what this
// host has. A revision never falls: older changes are ignored.
func (c *Core) configurationRead(now time.Time, ev ConfigurationRead) {
	if ev.FromStore {
		c.noteStore(now, ev.Err)
	}
	if ev.Err != nil {
		return
	}
	if !c.ready {
		c.ready = true
		c.dirty = true
	}
	if ev.Revision <= c.revision {
		return
	}
	accounts := false
	for _, ch := range ev.Changes {
		if ch.Revision > c.revision {
			c.putInForce(now, ch)
			_, isAccounts := contract.AccountsName(ch.Service)
			accounts = accounts || isAccounts
		}
	}
	if accounts {
		c.rebuildAccounts()
	}
	c.revision = ev.Revision
	c.rebuildRoutes()
	c.rebuildEntrySets()
	c.dirty = true
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: c.revision})
}

// noteStore records when the table goes away and when it is back.
func (c *Core) noteStore(now time.Time, err error) {
	away := err != nil
	if away == c.storeAway {
		return
	}
	c.storeAway = away
	kind, reason := timeline.StoreBack, ""
	if away {
		kind, reason = timeline.StoreLost, err.Error()
	}
	c.record(now, timeline.Event{Kind: kind, Reason: reason})
}

func (c *Core) putInForce(now time.Time, ch contract.Change) {
	c.changes = append(withoutService(c.changes, ch.Service), ch)
	sort.Slice(c.changes, func(i, j int) bool {
		return c.changes[i].Revision < c.changes[j].Revision
	})
	if _, ok := contract.AccountsName(ch.Service); ok {
		return
	}
	if ch.Contract == nil {
		delete(c.services, ch.Service)
		return
	}
	if s, ok := c.services[ch.Service]; ok {
		c.applyTransitions(now, s.Apply(ch.Contract, now))
		return
	}
	place := service.Place{Zone: c.self.Zone, Zones: c.cfg.Zones}
	c.services[ch.Service] = service.New(ch.Contract, place, now)
}

func withoutService(changes []contract.Change, name string) []contract.Change {
	out := changes[:0]
	for _, ch := range changes {
		if ch.Service != name {
			out = append(out, ch)
		}
	}
	return out
}

func (c *Core) rebuildRoutes() {
	var contracts []*contract.Contract
	for _, ch := range c.changes {
		if ch.Contract != nil {
			contracts = append(contracts, ch.Contract)
		}
	}
	c.routes = route.NewTable(contracts)
}

// rebuildAccounts gathers the accounts of all documents in force with those of
// the settings.
func (c *Core) rebuildAccounts() {
	list := append([]caller.Account(nil), c.cfg.Accounts...)
	for _, ch := range c.changes {
		if ch.Accounts == nil {
			continue
		}
		for _, a := range ch.Accounts.Accounts {
			list = append(list, caller.Account{Name: a.Name, KeyHash: a.KeyHash})
		}
	}
	c.accounts = caller.NewAccounts(list)
}
