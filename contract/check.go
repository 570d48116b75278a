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

// Problem is a problem with the value of one field of a document.
type Problem struct {
	// Field is the path of the field, for example "targets[2].slots".
	Field string
	// Message says what is wrong.
	Message string
	// Fix says how to correct it.
	Fix string
	// Warning is set when the document can be accepted nevertheless.
	Warning bool
}

// Limits of the fields of a contract.
const (
	maxNameLength    = 63 // bytes
	maxSlots         = 1024
	maxConnections   = 65535
	maxDeadline      = time.Hour
	maxGrace         = 24 * time.Hour
	minInterval      = time.Second
	maxInterval      = time.Hour
	maxQueueLength   = 100_000
	maxQueueWait     = time.Minute
	maxBodyBytes     = 1 << 30
	maxLoadPerSecond = 10_000_000
)

// problems collects the problems of one document.
type problems []Problem

func (p *problems) report(field, fix, format string, args ...any) {
	*p = append(*p, Problem{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix})
}

func (p *problems) warn(field, fix, format string, args ...any) {
	*p = append(*p, Problem{Field: field, Message: fmt.Sprintf(format, args...), Fix: fix, Warning: true})
}

// checkDuration reports a duration outside its limits.
func (p *problems) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		p.report(field, fmt.Sprintf("write a time from %v to %v", low, high), "%s is %v", field, value)
	}
}

// checkNumber reports a number outside its limits.
func (p *problems) checkNumber(field string, value, low, high int) {
	if value < low || value > high {
		p.report(field, fmt.Sprintf("write a number from %d to %d", low, high), "%s is %d", field, value)
	}
}

// Check returns the problems that can be found without looking at other
// documents. CrossCheck finds the problems that involve other documents.
func (c *Contract) Check() []Problem {
	var p problems
	p.checkName("service", c.Service, "service: catalogue")
	checkOneOf(&p, "protocol", c.Protocol, HTTP1, H2C)
	checkOneOf(&p, "weight", c.Weight, WeightDetection, WeightBalanced, WeightSafety)
	checkOneOf(&p, "key-outage", c.KeyOutage, KeyOutageRefuse, KeyOutageHome)
	c.checkTargets(&p)
	c.checkRoutes(&p)
	c.checkFloor(&p)
	c.checkLimits(&p)
	c.checkAccounts(&p)
	return p
}

// checkName reports a name that is missing or malformed.
func (p *problems) checkName(field, value, example string) {
	switch {
	case value == "":
		p.report(field, "add a line such as: "+example, "%s is missing", field)
	case !validName(value):
		p.report(field, "use a-z, 0-9 and -, beginning with a letter or digit, at most 63 characters",
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

// checkOneOf reports a value that is not one of the allowed values.
func checkOneOf[T ~string](p *problems, field string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	p.report(field, "write one of "+strings.Join(names, ", "), "%s %q is not known", field, string(value))
}

func (c *Contract) checkTargets(p *problems) {
	if len(c.Targets) == 0 {
		p.report("targets", "declare at least one target", "targets is missing or empty")
	}
	names := make(map[string]int)
	addresses := make(map[string]int)
	for i, t := range c.Targets {
		field := "targets[" + strconv.Itoa(i) + "]"
		p.checkName(field+".name", t.Name, "name: catalogue-1")
		p.checkUnique(field+".name", "target", t.Name, i, names)
		p.checkAddress(field+".address", t.Address)
		p.checkUnique(field+".address", "address", t.Address, i, addresses)
		p.checkName(field+".zone", string(t.Zone), "zone: lima-a")
		p.checkNumber(field+".slots", t.Slots, 1, maxSlots)
		p.checkNumber(field+".connections", t.Connections, 1, maxConnections)
	}
}

// CheckZones returns a problem for each target in an unknown zone.
func (c *Contract) CheckZones(known func(zone.ID) bool) []Problem {
	var p problems
	for i, t := range c.Targets {
		if !known(t.Zone) {
			p.report("targets["+strconv.Itoa(i)+"].zone", "write one of the zones of the hosts' settings",
				"zone %s of target %s is not known", t.Zone, t.Name)
		}
	}
	return p
}

// checkUnique reports a value that also occurs in an earlier element of the
// same list. kind is the kind of value to name in the message; seen maps each
// value to the index of its first element.
func (p *problems) checkUnique(field, kind, value string, i int, seen map[string]int) {
	first, duplicate := seen[value]
	if duplicate && value != "" {
		p.report(field, "give each its own", "%s %s is declared twice, first as number %d", kind, value, first+1)
		return
	}
	seen[value] = i
}

func (p *problems) checkAddress(field, value string) {
	if value == "" {
		p.report(field, "write it as ip:port, for example 10.0.4.7:8080", "%s is missing", field)
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		p.report(field, "write it as ip:port, for example 10.0.4.7:8080", "%s %q is not an address", field, value)
	}
}

func (c *Contract) checkFloor(p *problems) {
	declared := c.TotalSlots()
	floor := c.Floor.MinSlots(declared)
	switch {
	case floor <= 0:
		p.report("floor", "write at least one slot, or a share such as 60%", "floor is 0 or missing: every target could be ejected")
	case len(c.Targets) == 0:
		return
	case floor > declared:
		p.report("floor", fmt.Sprintf("lower it to at most %d slots or add targets", declared),
			"floor of %d slots is above the capacity of all targets, %d slots", floor, declared)
	case !c.ejectionPossible():
		p.warn("floor", "lower it below the capacity that is left without one target",
			"floor of %d of %d slots: no target can ever be ejected, however it fails", floor, declared)
	}
}

// ejectionPossible reports whether the floor allows at least one target to be
// ejected while all others are healthy.
func (c *Contract) ejectionPossible() bool {
	declared := c.TotalSlots()
	for _, t := range c.Targets {
		if c.Floor.AllowsEjection(declared, declared, t.Slots) {
			return true
		}
	}
	return false
}

func (c *Contract) checkLimits(p *problems) {
	if c.Leaving.Header != "" && !validToken(c.Leaving.Header) {
		p.report("leaving.header", "write a header name such as X-Draining", "leaving.header %q is not a header name", c.Leaving.Header)
	}
	if c.RateLimit.Header != "" && !validToken(c.RateLimit.Header) {
		p.report("rate-limit.header", "write a header name such as X-Rate-Limit", "rate-limit.header %q is not a header name", c.RateLimit.Header)
	}
	p.checkDuration("leaving.grace", c.Leaving.Grace, 0, maxGrace)
	if c.Health.Path != "" && !strings.HasPrefix(c.Health.Path, "/") {
		p.report("health.path", "begin it with /", "health.path %q is not a path", c.Health.Path)
	}
	p.checkDuration("health.interval", c.Health.Interval, minInterval, maxInterval)
	p.checkNumber("queue.length", c.Queue.Length, 0, maxQueueLength)
	p.checkDuration("queue.wait", c.Queue.Wait, 0, maxQueueWait)
	if math.IsNaN(c.Load) || c.Load < 0 || c.Load > maxLoadPerSecond {
		p.report("load", "write the expected peak in requests a second", "load is %v", c.Load)
	}
	if c.MaxBody < 1 || c.MaxBody > maxBodyBytes {
		p.report("max-body", "write a size from 1B to 1GiB", "max-body is %d bytes", c.MaxBody)
	}
}

func (c *Contract) checkAccounts(p *problems) {
	if len(c.Accounts) == 0 {
		p.warn("accounts", "list the accounts whose callers may use the service", "accounts is empty: no caller can use the service")
	}
	seen := make(map[string]int)
	for i, a := range c.Accounts {
		field := "accounts[" + strconv.Itoa(i) + "]"
		p.checkName(field, a, "accounts: [bookshop]")
		p.checkUnique(field, "account", a, i, seen)
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
