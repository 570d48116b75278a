package traffic

import (
	"net/http"
	"strconv"
	"time"
)

// hopReserve is what a host keeps of a request's time for the way back, so
// that the next hop gives up before this one.
const hopMargin = 5 * time.Millisecond

// deadline returns when the caller stops waiting: the route's deadline, or the
// caller's own when it is earlier.
func (req *request) deadline() time.Time {
	limit := req.match.Route.Deadline
	if left, ok := timeLeft(req.inbound.Header, HeaderDeadline); ok {
		limit = min(limit, left)
	}
	return req.receivedAt.Add(limit)
}

// timeLeft reads the milliseconds of a deadline's header.
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

// setTimeLeft writes what is left until a deadline, less the reserve.
func setTimeLeft(header http.Header, name string, deadline, now time.Time) {
	left := max(0, deadline.Sub(now)-hopMargin)
	header.Set(name, strconv.FormatInt(left.Milliseconds(), 10))
}
