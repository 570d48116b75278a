package contract

import "strings"

// Drain is an operator's order that a target gets no more work, kept until it
// is removed.
type Drain struct {
	Service string
	Target  string
	// Reason tells the other operators why; it may be empty.
	Reason string
}

// maxReason limits the reason of a drain, in bytes.
const maxReason = 500

// drainPrefix tells the subjects of drains from the names of services.
const drainPrefix = "drains/"

// DrainSubject returns the subject of the changes of a target's drain.
func DrainSubject(service, target string) string { return drainPrefix + service + "/" + target }

// DrainedTarget returns the target that a subject stands for. It returns false
// for a subject that is no drain.
func DrainedTarget(subject string) (service, target string, ok bool) {
	name, ok := strings.CutPrefix(subject, drainPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(name, "/")
}

// Check returns the faults of the drain alone.
func (d *Drain) Check() []Fault {
	var f faults
	f.name("service", d.Service, "service: catalogue")
	f.name("target", d.Target, "target: catalogue-1")
	if len(d.Reason) > maxReason {
		f.report("reason", "shorten it", "reason has %d bytes, above the limit of %d", len(d.Reason), maxReason)
	}
	return f
}
