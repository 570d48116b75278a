package discovery

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// Limits on what others say of a target. An entry beyond them was not written by a target.
const (
	// MaxNameBytes limits the id, the service and the zone. The store's keys are no longer.
	MaxNameBytes = 200
	// MaxSlots limits the slots of a target. More would draw all requests, and sums of slots
	// could overflow.
	MaxSlots = 1 << 16
)

// Check returns an error that names the field if a target cannot be used. latestBorn is the latest
// start that is believed, in Unix milliseconds: a later one would hide all that the target says
// after its next start.
func (t Target) Check(latestBorn int64) error {
	for _, f := range []struct{ name, value string }{{"id", t.ID}, {"service", t.Service}, {"zone", string(t.Zone)}} {
		if err := checkName(f.value); err != nil {
			return errors.Wrap(err, f.name)
		}
	}
	if err := checkAddress(t.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		return errors.Errorf("slots: %d, must be 1 to %d", t.Slots, MaxSlots)
	}
	if t.Born < 0 || t.Born > latestBorn {
		return errors.Errorf("born: %d is no time in the past", t.Born)
	}
	return nil
}

// checkName checks a name that is sent in headers and datagrams.
func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return errors.Errorf("has %d bytes, must have 1 to %d", len(name), MaxNameBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\ufffd' }) {
		return errors.Errorf("%q has characters that cannot be sent in a header", name)
	}
	return nil
}

func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.WithStack(err)
	case a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified():
		return errors.Errorf("%q is not the address and port of a host", address)
	}
	return nil
}
