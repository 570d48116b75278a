package timeline

import (
	"fmt"
	"strings"
)

// timeFormat prints the time of an event to the millisecond.
const timeFormat = "2006-01-02 15:04:05.000"

// Home is the only host that may dispatch a request, as its id names it.
type Home struct {
	Host        string
	Incarnation uint64
}

// Kept is an outcome that the table keeps, apart from the events.
type Kept struct {
	Account string
	// Result is "completed", "not-run" or "unknown".
	Result string
}

// Explain tells in sentences what happened to one request. Events holds the
// events of the request, and those that Context selects, from the whole fleet;
// kept holds the outcomes in the table.
func Explain(request string, home Home, events []Event, kept []Kept) []string {
	own := Filter{Request: request}.Select(events)
	out := []string{fmt.Sprintf("Request %s belongs to incarnation %d of host %s; no other may dispatch it.",
		request, home.Incarnation, home.Host)}
	for _, e := range own {
		out = append(out, sentence(e))
	}
	if len(own) == 0 {
		out = append(out, "No host has recorded an end of this request.")
	}
	for _, k := range kept {
		out = append(out, fmt.Sprintf("The table keeps that its home host told account %s %q.", k.Account, k.Result))
	}
	for _, e := range around(home, own, events) {
		out = append(out, "Beside it: "+describe(e)+".")
	}
	return append(out, verdict(home, own, events, kept))
}

// Context returns the filters of the events that Explain needs beside those of
// the request itself: of its home host, and of the targets it was sent to.
func Context(home Home, own []Event) []Filter {
	filters := []Filter{{Target: home.Host}}
	seen := make(map[Filter]bool)
	for _, e := range own {
		f := Filter{Service: e.Service, Target: e.Target}
		if e.Target != "" && !seen[f] {
			seen[f] = true
			filters = append(filters, f)
		}
	}
	return filters
}

// sentence tells one event of the request.
func sentence(e Event) string {
	to := ""
	if e.Target != "" {
		to = " after it was sent to target " + e.Target
	}
	because := ""
	if e.Reason != "" {
		because = " (" + e.Reason + ")"
	}
	return fmt.Sprintf("At %s host %s told the caller of service %s %q%s%s.",
		e.Stamp.Time().UTC().Format(timeFormat), e.Host, e.Service, e.To, to, because)
}

// around returns the changes of state of the home host's end, and those of the
// targets that the request was sent to.
func around(home Home, own, events []Event) []Event {
	targets := make(map[string]bool)
	for _, e := range own {
		if e.Target != "" {
			targets[e.Service+"/"+e.Target] = true
		}
	}
	var out []Event
	for _, e := range events {
		switch e.Kind {
		case HostLost:
			if e.Target == home.Host {
				out = append(out, e)
			}
		case HostLeaving:
			if e.Host == home.Host && e.Incarnation == home.Incarnation {
				out = append(out, e)
			}
		case TargetStateChanged:
			if targets[e.Service+"/"+e.Target] {
				out = append(out, e)
			}
		}
	}
	return out
}

// verdict says what may be concluded.
func verdict(home Home, own, events []Event, kept []Kept) string {
	for i := len(own) - 1; i >= 0; i-- {
		if says := conclusion(own[i].To); says != "" {
			return says
		}
	}
	if len(kept) == 1 {
		if says := conclusion(kept[0].Result); says != "" {
			return says
		}
	}
	for _, e := range events {
		if e.Kind == HostLost && e.Target == home.Host {
			return "Its home host was lost, so whether it ran is not known. It ran once at most, and will not be dispatched again."
		}
	}
	return "It may still be on its way, may never have arrived, or may be of an idempotent route, whose requests are not recorded."
}

// conclusion says what a result means; empty for none.
func conclusion(result string) string {
	switch result {
	case "completed":
		return "It ran once, and its whole answer went to the caller."
	case "not-run":
		return "It was not run: no byte of it reached the application."
	case "unknown":
		return "It ran once at most; whether it ran is not known to the system. It will not be dispatched again."
	default:
		return ""
	}
}

// describe tells an event that is not of a request.
func describe(e Event) string {
	at := e.Stamp.Time().UTC().Format(timeFormat)
	switch e.Kind {
	case HostLost:
		return fmt.Sprintf("at %s host %s took host %s to be gone", at, e.Host, e.Target)
	case HostLeaving:
		return fmt.Sprintf("at %s host %s began to leave the fleet", at, e.Host)
	default:
		return fmt.Sprintf("at %s host %s moved target %s/%s from %s to %s (%s)", at, e.Host, e.Service, e.Target, e.From, e.To, e.Reason)
	}
}

// Line formats an event as one line of text.
func Line(e Event) string {
	fields := []string{e.Stamp.Time().UTC().Format(timeFormat), e.Host, string(e.Kind)}
	for _, f := range []struct{ name, value string }{
		{"service", e.Service}, {"target", e.Target}, {"request", e.Request},
		{"from", e.From}, {"to", e.To},
	} {
		if f.value != "" {
			fields = append(fields, f.name+"="+f.value)
		}
	}
	if e.Revision > 0 {
		fields = append(fields, fmt.Sprintf("revision=%d", e.Revision))
	}
	if e.LLR != 0 {
		fields = append(fields, fmt.Sprintf("llr=%.1f", e.LLR))
	}
	if e.Reason != "" {
		fields = append(fields, "reason="+fmt.Sprintf("%q", e.Reason))
	}
	return strings.Join(fields, " ")
}
