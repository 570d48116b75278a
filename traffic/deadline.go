package traffic

import (
	"net/http"
	"strconv"
	"time"
)

// hopMargin is subtracted from the time left that is sent to the next hop. It leaves
// time for the response to travel back, so that the next hop times out before this host
// does.
const hopMargin = 5 * time.Millisecond

// deadline returns when the caller stops waiting: the deadline of the route, or that
// of the request if it is earlier.
func (req *request) deadline() time.Time {
	limit := req.match.Route.Deadline
	if left, ok := timeLeft(req.inbound.Header, HeaderDeadline); ok {
		limit = min(limit, left)
	}
	return req.receivedAt.Add(limit)
}

// timeLeft parses a deadline header, which gives the time left in milliseconds. It
// returns false if the header is missing or invalid.
func timeLeft(header http.Header, name string) (time.Duration, bool) {
	text := header.Get(name)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// setTimeLeft sets a deadline header to the time left until the deadline, less
// hopMargin.
func setTimeLeft(header http.Header, name string, deadline, now time.Time) {
	left := max(0, deadline.Sub(now)-hopMargin)
	header.Set(name, strconv.FormatInt(left.Milliseconds(), 10))
}
