package main

import (
	"math/rand/v2"
	"time"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/storage"
)

const (
	// standIns is how many cores stand in for the measured host's peers. Host
	// n is played by the core n modulo standIns.
	standIns = 24
	// sampled is how many stand-ins' messages the measured host hears.
	sampled = 4
	// announced is how many peers a host that comes back tells at once.
	announced = 4
)

// spoken is what one message of a peer passed on about third hosts.
type spoken struct {
	at      time.Time
	updates []host.Update
}

// news is what the peers of the measured host tell each other, and it, in the
// course of a day. Stand-ins work it out in advance, so that their processor
// time does not count as the measured host's.
type news struct {
	said []spoken
	next int
	// told is what hosts have told of themselves since the start, in order.
	told map[int][]told
}

// told is an identity from a time on.
type told struct {
	at       time.Time
	identity host.Identity
}

// hear returns the updates of the next message of some peer.
func (n *news) hear(now time.Time, rng *rand.Rand) []host.Update {
	for n.next < len(n.said) && n.said[n.next].at.Before(now) {
		n.next++
	}
	end := n.next
	for end < len(n.said) && n.said[end].at.Before(now.Add(time.Second)) {
		end++
	}
	if n.next == end {
		return nil
	}
	return n.said[n.next+rng.IntN(end-n.next)].updates
}

// identity is what a host tells of itself at a time.
func (n *news) identity(size Size, i int, now time.Time) host.Identity {
	id := identity(size, i)
	for _, t := range n.told[i] {
		if !now.Before(t.at) {
			id = t.identity
		}
	}
	return id
}

// fleet is the rest of the fleet while the news are worked out: membership
// alone, without services. Each stand-in runs the code of a real host. What the
// other hosts find is added at the rate at which so many hosts find it.
type fleet struct {
	size  Size
	day   day
	now   time.Time
	rng   *rand.Rand
	cores []*host.Core
	queue []delivery
	index map[string]int
	// hidden are the hosts that are away and not yet found so, or back and not
	// yet heard of.
	hidden map[int]bool
	away   bool
	news   news
	// restarts are the steps of the restarts to come, in order.
	restarts []restartStep
}

// delivery is an event for one stand-in.
type delivery struct {
	to    int
	event host.Event
}

// workOutNews runs the stand-ins through a day.
func workOutNews(size Size, day day) *news {
	f := &fleet{
		size: size, day: day, now: virtualStart, rng: rand.New(rand.NewPCG(3, 3)),
		index: make(map[string]int), hidden: make(map[int]bool),
	}
	f.news.told = make(map[int][]told)
	var members []host.Update
	for i := range size.Hosts {
		f.index[identity(size, i).FleetAddress] = i
		members = append(members, host.Update{Identity: identity(size, i), State: host.PeerAlive})
	}
	f.start(members)
	f.now = f.now.Add(knownTime)
	f.planRestarts(settleTime + 2*measureTime)
	f.run(settleTime)
	f.away = true
	f.hide()
	if day.back {
		f.run(measureTime)
		f.away = false
		f.hide()
	}
	f.run(measureTime)
	return &f.news
}

// start makes the stand-ins from hosts that stay.
func (f *fleet) start(members []host.Update) {
	for k := range standIns {
		i := k + 1
		for f.day.away(f.size, i) {
			i += standIns
		}
		f.cores = append(f.cores, host.New(host.Config{
			Self: identity(f.size, i), Zones: f.size.zones(), Timing: host.DefaultTiming(),
			Rand: rand.New(rand.NewPCG(4, uint64(k))),
		}))
	}
	for k := range f.cores {
		f.handle(k, host.ConfigurationRead{Revision: uint64(f.size.Services), FromStore: true})
		f.handle(k, host.SyncSucceeded{Message: f.message(members[0].Identity), Members: members})
	}
}

func (f *fleet) message(from host.Identity) host.Message {
	return host.Message{From: from, Revision: uint64(f.size.Services), Ready: true}
}

// hide begins the loss, or the return, of the hosts of the day.
func (f *fleet) hide() {
	for i := 1; i < f.size.Hosts; i++ {
		if f.day.away(f.size, i) {
			f.hidden[i] = true
		}
	}
}

func (f *fleet) isAway(i int) bool { return f.away && f.day.away(f.size, i) }

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(host.TickInterval) {
		f.find()
		f.restart()
		for k := range f.cores {
			f.handle(k, host.Tick{})
		}
		for len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			f.handle(next.to, next.event)
		}
	}
}

// find lets other hosts than the stand-ins meet the hidden ones: by their
// pings while those are away, by their attempts to reach lost hosts afterwards.
func (f *fleet) find() {
	timing := host.DefaultTiming()
	live := f.size.Hosts - len(f.hidden)
	each := float64(live) / float64(f.size.Hosts) / timing.PingInterval.Seconds()
	if !f.away {
		each = float64(live) / float64(max(1, len(f.hidden))) / timing.RecontactInterval.Seconds()
	}
	for i := 1; i < f.size.Hosts; i++ {
		if !f.hidden[i] || f.rng.Float64() >= each*host.TickInterval.Seconds() {
			continue
		}
		delete(f.hidden, i)
		if f.away {
			m := f.message(identity(f.size, 0))
			m.Updates = []host.Update{{Identity: identity(f.size, i), State: host.PeerSuspect}}
			f.handle(f.rng.IntN(standIns), host.MessageReceived{Message: m})
			continue
		}
		id := f.news.identity(f.size, i, f.now)
		id.Sequence++
		f.tell(i, id, nil)
	}
}

// tell lets a host announce what it has become.
func (f *fleet) tell(i int, id host.Identity, updates []host.Update) {
	f.news.told[i] = append(f.news.told[i], told{at: f.now, identity: id})
	m := f.message(id)
	m.Updates = updates
	for range announced {
		f.handle(f.rng.IntN(standIns), host.MessageReceived{Message: m})
	}
}

func (f *fleet) handle(k int, ev host.Event) {
	for _, e := range append([]host.Effect(nil), f.cores[k].Handle(f.now, ev)...) {
		f.carryOut(k, e)
	}
}

func (f *fleet) send(to int, ev host.Event) {
	f.queue = append(f.queue, delivery{to: to, event: ev})
}

func (f *fleet) carryOut(k int, e host.Effect) {
	switch e := e.(type) {
	case host.SendPing:
		f.say(k, e.Message)
		if i := f.index[e.To.FleetAddress]; f.isAway(i) {
			f.send(k, host.PingFailed{Subject: e.To.ID})
		} else {
			f.send(k, host.PingSucceeded{Message: f.exchange(i, e.Message)})
		}
	case host.SendIndirectPing:
		ev := host.IndirectPingEnded{Subject: e.Subject.ID}
		if f.isAway(f.index[e.Via.FleetAddress]) {
			ev.Err = storage.ErrUnavailable
		} else {
			ev.Reached = !f.isAway(f.index[e.Subject.FleetAddress])
		}
		f.send(k, ev)
	case host.SendSync:
		if i := f.index[e.To]; !f.isAway(i) {
			f.send(k, host.SyncSucceeded{Message: f.exchange(i, e.Message), Members: f.cores[i%standIns].Members()})
		}
	case host.ReadConfiguration:
		f.send(k, host.ConfigurationRead{Revision: e.After, FromStore: true, Err: f.day.storeErr()})
	case host.ReadHostList:
		f.send(k, host.HostListRead{Err: f.day.storeErr()})
	}
}

// exchange lets the stand-in of host i hear a message, and returns its answer
// in the name of that host.
func (f *fleet) exchange(i int, m host.Message) host.Message {
	k := i % standIns
	f.send(k, host.MessageReceived{Message: m})
	answer := f.cores[k].Message(f.now, m.From.ID)
	f.say(k, answer)
	answer.From = f.news.identity(f.size, i, f.now)
	return answer
}

// say notes what a message passes on.
func (f *fleet) say(k int, m host.Message) {
	if k < sampled {
		f.news.said = append(f.news.said, spoken{at: f.now, updates: m.Updates})
	}
}
