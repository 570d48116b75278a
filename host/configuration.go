package host

import (
	"maps"
	"slices"
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
	} else {
		c.fetchEnded(ev)
	}
	if ev.Err != nil {
		return
	}
	if ev.FromStore {
		c.becomeReady()
	}
	if ev.Revision > c.revision {
		c.advance(now, ev)
	}
	c.fetchNewest(now)
}

// advance puts changes in force and tells other hosts at once.
func (c *Core) advance(now time.Time, ev ConfigurationRead) {
	for _, ch := range ev.Changes {
		if ch.Revision > c.revision {
			c.putInForce(now, ch)
		}
	}
	c.revision = ev.Revision
	c.orderServices()
	c.rebuildRoutes()
	if slices.ContainsFunc(ev.Changes, isAccounts) {
		c.rebuildAccounts()
	}
	c.applyDrains(now)
	c.rebuildEntrySets(now)
	c.outdated |= viewServices
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: c.revision})
	if c.ready {
		c.announce(now)
	}
}

// orderServices lists the services by name.
func (c *Core) orderServices() {
	c.names = slices.Sorted(maps.Keys(c.services))
	c.ordered = make([]*service.Service, len(c.names))
	for i, name := range c.names {
		c.ordered[i] = c.services[name]
	}
}

func isAccounts(ch contract.Change) bool {
	_, ok := contract.AccountsName(ch.Service)
	return ok
}

func isDrain(ch contract.Change) bool {
	_, _, ok := contract.DrainedTarget(ch.Service)
	return ok
}

// noteStore records when the table goes away and when it is back.
func (c *Core) noteStore(now time.Time, err error) {
	away := err != nil
	if !away {
		c.news.store = now
	}
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
	ch = c.keepReadable(now, ch)
	c.changes = append(withoutService(c.changes, ch.Service), ch)
	sort.Slice(c.changes, func(i, j int) bool {
		return c.changes[i].Revision < c.changes[j].Revision
	})
	if isAccounts(ch) || isDrain(ch) {
		return
	}
	if ch.Contract == nil {
		delete(c.services, ch.Service)
		delete(c.signs, ch.Service)
		delete(c.fronting.plans, ch.Service)
		return
	}
	if s, ok := c.services[ch.Service]; ok {
		c.applyTransitions(now, s.Apply(ch.Contract, now))
		return
	}
	place := service.Place{Zone: c.self.Zone, Zones: c.cfg.Zones}
	c.services[ch.Service] = service.New(ch.Contract, place, now)
}

// keepReadable replaces what could not be read in a change by what was in force
// before. Its document stays, for peers that can read it.
func (c *Core) keepReadable(now time.Time, ch contract.Change) contract.Change {
	if len(ch.Document) == 0 || ch.Contract != nil || ch.Accounts != nil || ch.Drain != nil {
		return ch
	}
	c.record(now, timeline.Event{
		Kind: timeline.ConfigurationUnreadable, Service: ch.Service, Revision: ch.Revision,
		Reason: "the document could not be read; the earlier one stays in force",
	})
	for _, previous := range c.changes {
		if previous.Service == ch.Service {
			ch.Contract, ch.Accounts, ch.Drain = previous.Contract, previous.Accounts, previous.Drain
		}
	}
	return ch
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
