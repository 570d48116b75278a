package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/crocushinge/crocushinge/platform/platformtest"
)

// fault is something that goes wrong, or planned work. It returns when all is as
// before.
type fault struct {
	name string
	do   func(w *world, draw draw)
	// weight is how often it is drawn in comparison; 0 counts as 1.
	weight int
	// work is set for planned work, which breaks no promise with a time bound.
	work bool
}

// draw holds what was drawn by chance for a fault before the run, so that a seed
// repeats it.
type draw struct {
	// which chooses among things, share is from 0 to 1, and lasts is the time until
	// the end of the fault.
	which int
	share float64
	lasts time.Duration
}

// planned is a fault at its time.
type planned struct {
	at time.Duration
	fault
	draw
}

// Bounds of the schedule.
const (
	leastFaults, moreFaults = 1, 15
	// workOnly is how many seeds have one that has planned work only: the promises with
	// a time bound hold while nothing else is disturbed.
	workOnly          = 3
	shortest, longest = 300 * time.Millisecond, 2500 * time.Millisecond
)

// schedule draws the faults of a run. They may overlap.
func schedule(rng *rand.Rand, length time.Duration) []planned {
	var weighted []fault
	calm := rng.IntN(workOnly) == 0
	for _, f := range faults {
		if calm && !f.work {
			continue
		}
		weighted = append(weighted, slices.Repeat([]fault{f}, max(1, f.weight))...)
	}
	var out []planned
	for range leastFaults + rng.IntN(moreFaults) {
		out = append(out, planned{
			at:    time.Duration(rng.Int64N(int64(length))),
			fault: weighted[rng.IntN(len(weighted))],
			draw: draw{
				which: rng.IntN(1 << 16),
				share: rng.Float64(),
				lasts: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
			},
		})
	}
	return out
}

// play carries the faults out and returns when all have ended.
func (w *world) play(plan []planned) {
	began := time.Now()
	var all sync.WaitGroup
	for _, p := range plan {
		all.Go(func() {
			time.Sleep(time.Until(began.Add(p.at)))
			w.note("%s (%s, share %.2f)", p.name, p.lasts.Round(time.Millisecond), p.share)
			p.do(w, p.draw)
		})
	}
	all.Wait()
}

func (w *world) host(d draw) *host { return w.hosts[d.which%len(w.hosts)] }

// some returns a share of the hosts, one at least.
func (w *world) some(d draw) []*host {
	n := 1 + int(d.share*float64(len(w.hosts)-1))
	var out []*host
	for i := range n {
		out = append(out, w.hosts[(d.which+i)%len(w.hosts)])
	}
	return out
}

// target returns a target that has not ended, or nil.
func (w *world) target(d draw) *instance {
	list := w.instances()
	if len(list) == 0 {
		return nil
	}
	return list[d.which%len(list)]
}

// restart starts the program again; settings are those of now.
func (w *world) restart(h *host) {
	if err := h.start(false); err != nil {
		w.record.find("%s: %v", h.Name, err)
	}
}

var faults = []fault{
	{name: "a host is killed", do: func(w *world, d draw) { w.killHosts(w.hosts[d.which%len(w.hosts):][:1], d.lasts/3) }},
	{name: "many hosts are killed", do: func(w *world, d draw) { w.killHosts(w.some(d), d.lasts/3) }},
	{name: "all hosts are killed", do: func(w *world, d draw) { w.killHosts(w.hosts, d.lasts/3) }},
	{name: "hosts freeze", do: freezeHosts},
	{name: "a host ends and starts again", do: func(w *world, d draw) { w.roll(w.hosts[d.which%len(w.hosts):][:1], 0) }, weight: 3, work: true},
	{name: "hosts end in turn", do: func(w *world, d draw) { w.roll(w.some(d), d.lasts/5) }, work: true},
	{name: "a host is killed while it ends", do: killEnding},
	{name: "settings change", do: changeSettings, work: true},
	{name: "a settings file is broken", do: breakSettings},
	{name: "the store is silent", do: func(w *world, d draw) { w.misbehave(d, platformtest.StoreBehavior{Hang: true}) }},
	{name: "the store answers 503", do: func(w *world, d draw) {
		w.misbehave(d, platformtest.StoreBehavior{Status: http.StatusServiceUnavailable})
	}},
	{name: "the store answers 429", do: func(w *world, d draw) { w.misbehave(d, platformtest.StoreBehavior{Status: http.StatusTooManyRequests}) }},
	{name: "the store is slow", do: func(w *world, d draw) { w.misbehave(d, platformtest.StoreBehavior{Delay: 200 * time.Millisecond}) }},
	{name: "the store loses answers to writes", do: func(w *world, d draw) { w.misbehave(d, platformtest.StoreBehavior{LoseWriteResponses: true}) }},
	{name: "the store forgets its history", do: forgetHistory},
	{name: "hosts hear nothing from the store", do: func(w *world, d draw) { w.cutStore(w.some(d), d.lasts, false) }},
	{name: "the store hears nothing from hosts", do: func(w *world, d draw) { w.cutStore(w.some(d), d.lasts, true) }},
	{name: "links to the store are reset", do: resetStoreLinks},
	{name: "links to the store are slow", do: slowStoreLinks},
	{name: "a target's answers are cut off", do: func(w *world, d draw) { w.cutTarget(d, false) }},
	{name: "a target's requests are cut off", do: func(w *world, d draw) { w.cutTarget(d, true) }},
	{name: "a target's link is reset", do: resetTargetLink},
	{name: "a target's link is slow", do: slowTargetLink},
	{name: "targets fail at once", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{FailShare: 0.6}) }},
	{name: "targets hang", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{HangShare: 0.4}) }},
	{name: "targets lose answers", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{ResetShare: 0.4}) }},
	{name: "targets break answers off", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{TruncateShare: 0.4}) }},
	{name: "targets answer twice", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{DuplicateShare: 0.5}) }},
	{name: "targets announce no length", do: func(w *world, d draw) { w.degrade(d, platformtest.TargetBehavior{NoLengthShare: 0.5}) }},
	{name: "targets forget connections", do: func(w *world, d draw) {
		w.degrade(d, platformtest.TargetBehavior{ResetIdleAfter: 100 * time.Millisecond})
	}},
	{name: "targets are slow", do: func(w *world, d draw) {
		w.degrade(d, platformtest.TargetBehavior{MeanDuration: 300 * time.Millisecond})
	}},
	{name: "a target crashes", do: crashTarget},
	{name: "a target is replaced", do: replaceTarget, weight: 4, work: true},
	{name: "an address goes to another service", do: reuseAddress},
	{name: "a configuration", do: func(w *world, d draw) { w.changeSomething(d.which) }, weight: 4, work: true},
	{name: "configurations in quick succession", do: stormConfigurations, work: true},
}

func (w *world) killHosts(list []*host, down time.Duration) {
	for _, h := range list {
		end := w.record.disturb(h.Name)
		h.kill()
		defer func() {
			w.restart(h)
			end()
		}()
	}
	time.Sleep(down)
}

func freezeHosts(w *world, d draw) {
	list := w.some(d)
	for _, h := range list {
		defer w.record.disturb(h.Name)()
		h.signal(syscall.SIGSTOP)
	}
	time.Sleep(d.lasts)
	for _, h := range list {
		h.signal(syscall.SIGCONT)
	}
}

// roll ends hosts in turn, each after the pause, and starts them again.
func (w *world) roll(list []*host, pause time.Duration) {
	var all sync.WaitGroup
	for _, h := range list {
		all.Go(func() {
			defer w.record.disturb(planName(h))()
			h.terminate()
			w.restart(h)
		})
		time.Sleep(pause)
	}
	all.Wait()
}

// planName names a host's planned work in the record.
func planName(h *host) string { return h.Name + " ends" }

func killEnding(w *world, d draw) {
	h := w.host(d)
	defer w.record.disturb(h.Name)()
	h.expectEnd()
	h.signal(syscall.SIGTERM)
	time.Sleep(d.lasts / 2)
	h.kill()
	w.restart(h)
}

// changeSettings changes a bound of some hosts, half of them with a signal.
func changeSettings(w *world, d draw) {
	for i, h := range w.some(d) {
		changed := h.Host
		changed.Bounds.DirectoryTTL = time.Second
		if err := h.writeSettings(changed.SettingsFile()); err != nil {
			w.record.find("%s: %v", h.Name, err)
		}
		if i%2 == 0 {
			h.signal(syscall.SIGHUP)
		}
	}
}

// breakSettings makes the settings of running hosts unusable for a time.
func breakSettings(w *world, d draw) {
	h := w.host(d)
	if err := h.writeSettings("[self]\nnode = "); err != nil {
		w.record.find("%s: %v", h.Name, err)
	}
	h.signal(syscall.SIGHUP)
	time.Sleep(d.lasts)
	if err := h.writeSettings(h.SettingsFile()); err != nil {
		w.record.find("%s: %v", h.Name, err)
	}
	h.signal(syscall.SIGHUP)
}

func (w *world) misbehave(d draw, how platformtest.StoreBehavior) {
	defer w.record.disturb(placeStore)()
	w.store.SetBehavior(how)
	time.Sleep(d.lasts)
	w.store.SetBehavior(platformtest.StoreBehavior{})
}

// forgetHistory drops the history after feeds have heard nothing for a time.
func forgetHistory(w *world, d draw) {
	defer w.record.disturb(placeStore)()
	w.store.SetBehavior(platformtest.StoreBehavior{OmitChanges: true})
	time.Sleep(min(d.lasts, time.Second))
	w.store.DropHistory()
	w.store.SetBehavior(platformtest.StoreBehavior{})
}

// cutStore cuts the way between hosts and the store in one direction.
func (w *world) cutStore(list []*host, lasts time.Duration, out bool) {
	for _, h := range list {
		from, to := placeStore, h.Name
		if out {
			from, to = to, from
		}
		defer w.record.disturb(h.Name + " store")()
		w.network.Cut(from, to)
		defer w.network.Heal(from, to)
	}
	time.Sleep(lasts)
}

func resetStoreLinks(w *world, d draw) {
	for _, h := range w.some(d) {
		defer w.record.disturb(h.Name + " store")()
		h.link.reset()
	}
	time.Sleep(100 * time.Millisecond)
}

func slowStoreLinks(w *world, d draw) {
	for _, h := range w.some(d) {
		defer w.record.disturb(h.Name + " store")()
		h.link.delay.Store(int64(150 * time.Millisecond))
		defer h.link.delay.Store(0)
	}
	time.Sleep(d.lasts)
}

// cutTarget cuts the way between the fleet and a target in one direction.
func (w *world) cutTarget(d draw, requests bool) {
	x := w.target(d)
	if x == nil {
		return
	}
	from, to := x.ID, placeFleet
	if requests {
		from, to = to, from
	}
	defer w.record.disturb(x.ID)()
	w.network.Cut(from, to)
	defer w.network.Heal(from, to)
	time.Sleep(d.lasts)
}

func resetTargetLink(w *world, d draw) {
	if x := w.target(d); x != nil {
		defer w.record.disturb(x.ID)()
		x.link.reset()
		time.Sleep(100 * time.Millisecond)
	}
}

func slowTargetLink(w *world, d draw) {
	if x := w.target(d); x != nil {
		defer w.record.disturb(x.ID)()
		x.link.delay.Store(int64(100 * time.Millisecond))
		time.Sleep(d.lasts)
		x.link.delay.Store(0)
	}
}

// degrade makes a third of the targets at most behave badly.
func (w *world) degrade(d draw, how platformtest.TargetBehavior) {
	if how.MeanDuration == 0 {
		how.MeanDuration = soundTarget.MeanDuration
	}
	list := w.instances()
	for i := range 1 + int(d.share*float64(len(list))/3) {
		x := list[(d.which+i)%len(list)]
		defer w.record.disturb(x.ID)()
		x.SetBehavior(how)
		defer x.SetBehavior(soundTarget)
	}
	time.Sleep(d.lasts)
}

// crashTarget ends a target without a notice. Its entry lapses, and another one
// comes in its place.
func crashTarget(w *world, d draw) {
	x := w.target(d)
	if x == nil {
		return
	}
	w.record.disturb(x.ID)
	w.endTarget(x)
	time.Sleep(3 * heartbeat)
	w.unregister(x)
	w.grow(x.Service)
}

// grow adds a target to a service.
func (w *world) grow(service string) *instance {
	x, err := w.addTarget(service, "")
	if err != nil {
		w.record.find("the soak cannot start a target: %v", err)
	}
	return x
}

// retire drains a target and ends it when it need not serve any more.
func (w *world) retire(x *instance) {
	w.drain(x)
	time.Sleep(bounds.Drain + time.Second)
	w.unregister(x)
	time.Sleep(bounds.Drain)
	w.record.disturb(x.ID)
	w.endTarget(x)
}

func replaceTarget(w *world, d draw) {
	x := w.target(d)
	if x == nil || x.draining() {
		return
	}
	w.grow(x.Service)
	w.retire(x)
}

func (x *instance) draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.entry.Leaving
}

// reuseAfter is the time after which the address of a target that has ended goes
// to another one, on the users' platform.
const reuseAfter = 2 * time.Second

// reuseAddress ends a target and gives its address to one of the other service.
func reuseAddress(w *world, d draw) {
	x := w.target(d)
	if x == nil || x.draining() {
		return
	}
	w.grow(x.Service)
	w.record.disturb(x.ID)
	w.forget(x)
	x.stop()
	x.Kill()
	x.link.reset()
	time.Sleep(reuseAfter)
	other := catalogue
	if x.Service == catalogue {
		other = checkout
	}
	if y := w.grow(other); y != nil {
		// The old address leads to the new target until the old entry lapses.
		x.link.to.Store(y.Address())
		time.Sleep(3*heartbeat - reuseAfter)
		w.unregister(x)
		time.Sleep(bounds.Drain)
	}
	x.link.close()
}

func stormConfigurations(w *world, d draw) {
	for i := range 8 {
		w.changeSomething(d.which + i)
		time.Sleep(d.lasts / 8)
	}
}
