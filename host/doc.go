// Package host implements the control state machine of one host of the fleet.
//
// A Core is deterministic. It has no goroutine, no clock and no I/O of its
// own: the control thread passes it events with the time at which they
// happened, and carries out the effects that it returns.
//
//	core := host.New(cfg)
//	for ev := range events {
//		for _, effect := range core.Handle(time.Now(), ev) {
//			perform(effect)
//		}
//	}
//
// The same events with the same times and the same seed give the same
// effects, so that each decision can be tested without a network.
//
// Traffic goroutines never access the core. They read the Snapshot that the
// control thread publishes through an atomic pointer, and send their
// observations back as events.
package host
