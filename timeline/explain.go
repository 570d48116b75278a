package timeline

import (
	"fmt"
	"strings"
)

// timeFormat has millisecond precision.
const timeFormat = "2006-01-02 15:04:05.000"

// HomeHost identifies the home host of a request, which is part of the request id.
// Only this incarnation of the host may dispatch the request.
type HomeHost struct {
	Host        string
	Incarnation uint64
}

// StoredOutcome is an outcome that is stored in the table, independently of the events.
type StoredOutcome struct {
	Account string
	// Result is "completed", "not-run" or "unknown".
	Result string
}

// Explain describes in sentences what happened to one request. Parameter events
// holds the events of the request and those that Context selects, from all
// hosts; stored holds the outcomes in the table.
func Explain(request string, home HomeHost, events []Event, stored []StoredOutcome) []string {
	requestEvents := Filter{Request: request}.Select(events)
	sentences := []string{fmt.Sprintf("Request %s belongs to incarnation %d of host %s; no other may dispatch it.",
		request, home.Incarnation, home.Host)}
	for _, e := range requestEvents {
		sentences = append(sentences, requestSentence(e))
	}
	if len(requestEvents) == 0 {
		sentences = append(sentences, "No host has recorded an end of this request.")
	}
	for _, outcome := range stored {
		sentences = append(sentences, fmt.Sprintf("The table keeps that its home host told account %s %q.", outcome.Account, outcome.Result))
	}
	for _, e := range relatedEvents(home, requestEvents, events) {
		sentences = append(sentences, "Related: "+relatedSentence(e)+".")
	}
	return append(sentences, overallConclusion(home, requestEvents, events, stored))
}

// RelatedFilters returns filters for the events that Explain needs in addition to those
// of the request itself: events about its home host and about the targets it was
// sent to.
func RelatedFilters(home HomeHost, requestEvents []Event) []Filter {
	filters := []Filter{{Target: home.Host}}
	seen := make(map[Filter]bool)
	for _, e := range requestEvents {
		f := Filter{Service: e.Service, Target: e.Target}
		if e.Target != "" && !seen[f] {
			seen[f] = true
			filters = append(filters, f)
		}
	}
	return filters
}

// requestSentence describes an event of the request itself.
func requestSentence(e Event) string {
	sentTo := ""
	if e.Target != "" {
		sentTo = " after it was sent to target " + e.Target
	}
	reason := ""
	if e.Reason != "" {
		reason = " (" + e.Reason + ")"
	}
	return fmt.Sprintf("At %s host %s told the caller of service %s %q%s%s.",
		e.Stamp.Time().UTC().Format(timeFormat), e.Host, e.Service, e.To, sentTo, reason)
}

// relatedEvents returns the events in which the home host left or was lost, and
// the state changes of the targets that the request was sent to.
func relatedEvents(home HomeHost, requestEvents, events []Event) []Event {
	targets := make(map[string]bool)
	for _, e := range requestEvents {
		if e.Target != "" {
			targets[e.Service+"/"+e.Target] = true
		}
	}
	var related []Event
	for _, e := range events {
		switch e.Kind {
		case HostLost:
			if e.Target == home.Host {
				related = append(related, e)
			}
		case HostLeaving:
			if e.Host == home.Host && e.Incarnation == home.Incarnation {
				related = append(related, e)
			}
		case TargetStateChanged:
			if targets[e.Service+"/"+e.Target] {
				related = append(related, e)
			}
		}
	}
	return related
}

// overallConclusion returns what follows from the events and the stored outcomes.
// The newest event that has a result takes precedence. A stored outcome counts
// only when it is the only one, since the outcomes of several accounts may differ.
func overallConclusion(home HomeHost, requestEvents, events []Event, stored []StoredOutcome) string {
	for i := len(requestEvents) - 1; i >= 0; i-- {
		if text := conclusionFromResult(requestEvents[i].To); text != "" {
			return text
		}
	}
	if len(stored) == 1 {
		if text := conclusionFromResult(stored[0].Result); text != "" {
			return text
		}
	}
	for _, e := range events {
		if e.Kind == HostLost && e.Target == home.Host {
			return "Its home host was lost, so whether it ran is not known. It ran once at most, and will not be dispatched again."
		}
	}
	return "It may still be on its way, may never have arrived, or may be of an idempotent route, whose requests are not recorded."
}

// conclusionFromResult explains a result. It returns "" for any other text.
func conclusionFromResult(result string) string {
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

// relatedSentence describes an event that relatedEvents selected.
func relatedSentence(e Event) string {
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

// FormatEvent formats an event as one line of text.
func FormatEvent(e Event) string {
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
