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

// handleConfiguration applies the changes that are newer than this host's
// revision. The revision never decreases: older changes are ignored.
func (c *Core) handleConfiguration(now time.Time, ev ConfigurationRead) {
	if ev.FromStore {
		c.recordStoreState(now, ev.Err)
	} else {
		c.endFetch(ev)
	}
	if ev.Err != nil {
		return
	}
	if ev.FromStore {
		c.becomeReady()
	}
	if c.history == 0 {
		c.history = ev.History
	}
	switch {
	case ev.History.Before(c.history):
	case c.history.Before(ev.History):
		c.adoptHistory(now, ev)
	case ev.Revision > c.revision:
		c.adoptKept(now, ev)
		c.applyChanges(now, ev)
	case ev.Revision == c.revision:
		c.adoptKept(now, ev)
	}
	c.fetchNewest(now)
}

// applyChanges puts changes in force. A ready host announces the new revision
// to other hosts at once.
func (c *Core) applyChanges(now time.Time, ev ConfigurationRead) {
	for _, ch := range ev.Changes {
		if ch.Revision > c.revision {
			c.applyChange(now, ch)
		}
	}
	c.revision = ev.Revision
	c.refreshConfiguration(now, ev)
}

// refreshConfiguration rebuilds what follows from the changes.
func (c *Core) refreshConfiguration(now time.Time, ev ConfigurationRead) {
	c.sortServices()
	c.rebuildRoutes()
	if slices.ContainsFunc(ev.Changes, isAccounts) {
		c.rebuildAccounts()
	}
	c.applyDrains(now)
	c.rebuildEntrySets(now)
	c.staleParts |= partServices
	c.record(now, timeline.Event{Kind: timeline.ConfigurationInForce, Revision: c.revision})
	if c.ready {
		c.announce(now)
	}
}

// sortServices rebuilds the sorted lists of the services.
func (c *Core) sortServices() {
	c.serviceNames = slices.Sorted(maps.Keys(c.services))
	c.sortedServices = make([]*service.Service, len(c.serviceNames))
	for i, name := range c.serviceNames {
		c.sortedServices[i] = c.services[name]
	}
}

func isAccounts(ch contract.Change) bool {
	_, ok := contract.AccountsDocumentName(ch.Subject)
	return ok
}

func isDrain(ch contract.Change) bool {
	_, _, ok := contract.DrainedTarget(ch.Subject)
	return ok
}

// recordStoreState notes when the metadata store last responded, and records on
// the timeline when it becomes unavailable and when it is available again.
func (c *Core) recordStoreState(now time.Time, err error) {
	unavailable := err != nil
	if !unavailable {
		c.freshness.lastStoreRead = now
	}
	if unavailable == c.storeUnavailable {
		return
	}
	c.storeUnavailable = unavailable
	kind, reason := timeline.StoreBack, ""
	if unavailable {
		kind, reason = timeline.StoreLost, err.Error()
	}
	c.record(now, timeline.Event{Kind: kind, Reason: reason})
}

func (c *Core) applyChange(now time.Time, ch contract.Change) {
	delete(c.kept, ch.Subject)
	ch = c.substituteUnreadable(now, ch)
	c.changes = append(withoutSubject(c.changes, ch.Subject), ch)
	c.sortChanges()
	if isAccounts(ch) || isDrain(ch) {
		return
	}
	if ch.Contract == nil {
		delete(c.services, ch.Subject)
		delete(c.leaveSignals, ch.Subject)
		delete(c.entrySetState.plans, ch.Subject)
		return
	}
	if s, ok := c.services[ch.Subject]; ok {
		c.applyTransitions(now, s.Apply(ch.Contract, now))
		return
	}
	location := service.Location{Zone: c.self.Zone, Zones: c.cfg.Zones}
	c.services[ch.Subject] = service.New(ch.Contract, location, now)
}

func (c *Core) sortChanges() {
	sort.SliceStable(c.changes, func(i, j int) bool {
		return c.changes[i].Revision < c.changes[j].Revision
	})
}

// substituteUnreadable replaces the content of a change that could not be read
// with the earlier content of the same subject. The document itself is kept for
// peers that can read it.
func (c *Core) substituteUnreadable(now time.Time, ch contract.Change) contract.Change {
	if len(ch.Document) == 0 || ch.Contract != nil || ch.Accounts != nil || ch.Drain != nil {
		return ch
	}
	c.record(now, timeline.Event{
		Kind: timeline.ConfigurationUnreadable, Service: ch.Subject, Revision: ch.Revision,
		Reason: "the document could not be read; the earlier one stays in force",
	})
	for _, previous := range c.changes {
		if previous.Subject == ch.Subject {
			ch.Contract, ch.Accounts, ch.Drain = previous.Contract, previous.Accounts, previous.Drain
		}
	}
	return ch
}

func withoutSubject(changes []contract.Change, subject string) []contract.Change {
	out := changes[:0]
	for _, ch := range changes {
		if ch.Subject != subject {
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

// rebuildAccounts combines the accounts of all documents in force with those of
// the settings.
func (c *Core) rebuildAccounts() {
	list := slices.Clone(c.cfg.Accounts)
	for _, ch := range c.changes {
		if ch.Accounts != nil {
			list = append(list, ch.Accounts.Accounts...)
		}
	}
	accounts, err := c.accounts.Update(uniteAccounts(list))
	if err != nil {
		return // uniteAccounts leaves no name or key to two accounts
	}
	c.accounts = accounts
}

// uniteAccounts joins the accounts with the same name. A key of several accounts stays with the
// last of them. The check of the documents finds such accounts, but not those of the settings.
func uniteAccounts(list []caller.Account) []caller.Account {
	owners := make(map[caller.KeyDigest]string, len(list))
	for _, a := range list {
		for _, digest := range a.Keys {
			owners[digest] = a.Name
		}
	}
	indexes := make(map[string]int, len(list))
	var united []caller.Account
	for _, a := range list {
		i, known := indexes[a.Name]
		if !known {
			i = len(united)
			indexes[a.Name] = i
			united = append(united, caller.Account{Name: a.Name})
		}
		for _, digest := range a.Keys {
			if owners[digest] == a.Name && !slices.Contains(united[i].Keys, digest) {
				united[i].Keys = append(united[i].Keys, digest)
			}
		}
	}
	return united
}
