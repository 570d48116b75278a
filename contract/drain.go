package contract

import "strings"

// Drain is an operator's instruction to send no more requests to a target. The
// instruction applies until it is removed.
type Drain struct {
	Service string
	Target  string
	// Reason explains the drain to other operators; it may be empty.
	Reason string
}

// maxReasonBytes limits the reason of a drain.
const maxReasonBytes = 500

// drainSubjectPrefix distinguishes the subjects of drains from the names of
// services, which contain no slash.
const drainSubjectPrefix = "drains/"

// DrainSubject returns the subject under which changes of a target's drain are
// stored.
func DrainSubject(service, target string) string { return drainSubjectPrefix + service + "/" + target }

// DrainedTarget returns the service and the target of a drain's subject. It
// returns false for any other subject.
func DrainedTarget(subject string) (service, target string, ok bool) {
	name, ok := strings.CutPrefix(subject, drainSubjectPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(name, "/")
}

// Check returns the problems that can be found without looking at other
// documents.
func (d *Drain) Check() []Problem {
	var p problems
	p.checkName("service", d.Service, "service: catalogue")
	p.checkName("target", d.Target, "target: catalogue-1")
	if len(d.Reason) > maxReasonBytes {
		p.report("reason", "shorten it", "reason has %d bytes, above the limit of %d", len(d.Reason), maxReasonBytes)
	}
	return p
}
