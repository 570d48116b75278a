package contract

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocushinge/crocushinge/zone"
)

// Fault is a fault of a contract at one of its fields.
type Fault struct {
	// Field is the path of the field, for example "targets[2].slots".
	Field string
	// Message says what is wrong.
	Message string
	// Fix says how to mend it.
	Fix string
	// Warning is set when the contract can be put in force all the same.
	Warning bool
}

// Limits of the fields of a contract.
const (
	maxNameLength  = 63
	maxSlots       = 1024
	maxConnections = 65535
	maxDeadline    = time.Hour
	maxGrace       = 24 * time.Hour
	minInterval    = time.Second
	maxInterval    = time.Hour
	maxQueueLength = 100_000
	maxQueueWait   = time.Minute
	// maxBodyLimit is in bytes.
	maxBodyLimit = 1 << 30
	// maxLoad is in requests a second.
	maxLoad = 10_000_000
)

// faults collects the faults of one document.
type faults []Fault

func (f *faults) report(field, fix, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix})
}

func (f *faults) warn(field, fix, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix, Warning: true})
}

// between reports a duration outside its limits.
func (f *faults) between(field string, value, low, high time.Duration) {
	if value < low || value > high {
		f.report(field, fmt.Sprintf("write a time from %v to %v", low, high), "%s is %v", field, value)
	}
}

// count reports a number outside its limits.
func (f *faults) count(field string, value, low, high int) {
	if value < low || value > high {
		f.report(field, fmt.Sprintf("write a number from %d to %d", low, high), "%s is %d", field, value)
	}
}

// Check returns the faults of the contract alone. CrossCheck compares it with
// the other documents.
func (c *Contract) Check() []Fault {
	var f faults
	f.name("service", c.Service, "service: catalogue")
	oneOf(&f, "protocol", c.Protocol, HTTP1, H2C)
	oneOf(&f, "weight", c.Weight, WeightDetection, WeightBalanced, WeightSafety)
	oneOf(&f, "key-outage", c.KeyOutage, KeyOutageRefuse, KeyOutageHome)
	c.checkTargets(&f)
	c.checkRoutes(&f)
	c.checkFloor(&f)
	c.checkLimits(&f)
	c.checkAccounts(&f)
	return f
}

// name reports a name that is missing or malformed.
func (f *faults) name(field, value, example string) {
	switch {
	case value == "":
		f.report(field, "add a line such as: "+example, "%s is missing", field)
	case !validName(value):
		f.report(field, "use a-z, 0-9 and -, beginning with a letter or digit, at most 63 characters",
			"%s %q is not a name", field, value)
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// oneOf reports a value that is not among the known ones.
func oneOf[T ~string](f *faults, field string, value T, known ...T) {
	if slices.Contains(known, value) {
		return
	}
	names := make([]string, len(known))
	for i, k := range known {
		names[i] = string(k)
	}
	f.report(field, "write one of "+strings.Join(names, ", "), "%s %q is not known", field, string(value))
}

func (c *Contract) checkTargets(f *faults) {
	if len(c.Targets) == 0 {
		f.report("targets", "declare at least one target", "targets is missing or empty")
	}
	names := make(map[string]int)
	addresses := make(map[string]int)
	for i, t := range c.Targets {
		field := "targets[" + strconv.Itoa(i) + "]"
		f.name(field+".name", t.Name, "name: catalogue-1")
		f.repeated(field+".name", "target", t.Name, i, names)
		f.address(field+".address", t.Address)
		f.repeated(field+".address", "address", t.Address, i, addresses)
		f.name(field+".zone", string(t.Zone), "zone: lima-a")
		f.count(field+".slots", t.Slots, 1, maxSlots)
		f.count(field+".connections", t.Connections, 1, maxConnections)
	}
}

// CheckZones returns a fault for each target in a zone that is not known.
func (c *Contract) CheckZones(known func(zone.ID) bool) []Fault {
	var f faults
	for i, t := range c.Targets {
		if !known(t.Zone) {
			f.report("targets["+strconv.Itoa(i)+"].zone", "write one of the zones of the hosts' settings",
				"zone %s of target %s is not known", t.Zone, t.Name)
		}
	}
	return f
}

// repeated reports a value that an earlier element of the same list has.
func (f *faults) repeated(field, what, value string, i int, seen map[string]int) {
	first, twice := seen[value]
	if twice && value != "" {
		f.report(field, "give each its own", "%s %s is declared twice, first as number %d", what, value, first+1)
		return
	}
	seen[value] = i
}

func (f *faults) address(field, value string) {
	if value == "" {
		f.report(field, "write it as ip:port, for example 10.0.4.7:8080", "%s is missing", field)
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		f.report(field, "write it as ip:port, for example 10.0.4.7:8080", "%s %q is not an address", field, value)
	}
}

func (c *Contract) checkFloor(f *faults) {
	declared := c.Slots()
	floor := c.Floor.MinSlots(declared)
	switch {
	case floor <= 0:
		f.report("floor", "write at least one slot, or a share such as 60%", "floor is 0 or missing: every target could be ejected")
	case len(c.Targets) == 0:
		return
	case floor > declared:
		f.report("floor", fmt.Sprintf("lower it to at most %d slots or add targets", declared),
			"floor of %d slots is above the capacity of all targets, %d slots", floor, declared)
	case !c.ejectionPossible():
		f.warn("floor", "lower it below the capacity that is left without one target",
			"floor of %d of %d slots: no target can ever be ejected, however it fails", floor, declared)
	}
}

// ejectionPossible reports whether some target may be ejected while all others
// are healthy.
func (c *Contract) ejectionPossible() bool {
	declared := c.Slots()
	for _, t := range c.Targets {
		if c.Floor.AllowsEjection(declared, declared, t.Slots) {
			return true
		}
	}
	return false
}

func (c *Contract) checkLimits(f *faults) {
	if c.Leaving.Header != "" && !validToken(c.Leaving.Header) {
		f.report("leaving.header", "write a header name such as X-Draining", "leaving.header %q is not a header name", c.Leaving.Header)
	}
	f.between("leaving.grace", c.Leaving.Grace, 0, maxGrace)
	if c.Health.Path != "" && !strings.HasPrefix(c.Health.Path, "/") {
		f.report("health.path", "begin it with /", "health.path %q is not a path", c.Health.Path)
	}
	f.between("health.interval", c.Health.Interval, minInterval, maxInterval)
	f.count("queue.length", c.Queue.Length, 0, maxQueueLength)
	f.between("queue.wait", c.Queue.Wait, 0, maxQueueWait)
	if math.IsNaN(c.Load) || c.Load < 0 || c.Load > maxLoad {
		f.report("load", "write the expected peak in requests a second", "load is %v", c.Load)
	}
	if c.MaxBody < 1 || c.MaxBody > maxBodyLimit {
		f.report("max-body", "write a size from 1B to 1GiB", "max-body is %d bytes", c.MaxBody)
	}
}

func (c *Contract) checkAccounts(f *faults) {
	if len(c.Accounts) == 0 {
		f.warn("accounts", "list the accounts whose callers may use the service", "accounts is empty: no caller can use the service")
	}
	seen := make(map[string]int)
	for i, a := range c.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		f.name(field, a, "accounts: [bookshop]")
		f.repeated(field, "account", a, i, seen)
	}
}

// validToken reports whether s is a token of RFC 9110, 5.6.2.
func validToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
