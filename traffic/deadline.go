package traffic

import (
	"net/http"
	"strconv"
	"time"
)

// hopReserve is what a host keeps of a request's time for the way back, so
// that the next hop gives up before this one.
const hopReserve = 5 * time.Millisecond

// deadline returns when the caller stops waiting: the route's deadline, or the
// caller's own when it is earlier.
func (req *request) deadline() time.Time {
	limit := req.match.Route.Deadline
	if left, ok := timeLeft(req.in.Header); ok {
		limit = min(limit, left)
	}
	return req.arrived.Add(limit)
}

// timeLeft reads HeaderDeadline.
func timeLeft(header http.Header) (time.Duration, bool) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// setTimeLeft writes what is left until a deadline, less the reserve.
func setTimeLeft(header http.Header, deadline, now time.Time) {
	left := max(0, deadline.Sub(now)-hopReserve)
	header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}
