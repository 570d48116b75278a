package traffic

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/target"
)

// noticeHeaders are the names of the response headers in which targets say something about
// themselves. An empty name stands for none.
type noticeHeaders struct {
	// leaving is set to anything but "0" by a target that is leaving.
	leaving string
	// rateLimit is the number of requests a second, a decimal number, that the target accepts
	// from all hosts together.
	rateLimit string
}

// read returns the notice in a response. It returns an error for a rate limit or a Retry-After
// that cannot be read; the rest of the notice is valid nevertheless.
func (names noticeHeaders) read(resp *http.Response, now time.Time) (n target.Notice, err error) {
	if names.leaving != "" {
		value := resp.Header.Get(names.leaving)
		n.Leaving = value != "" && value != "0"
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		n.RetryAfter, err = parseRetryAfter(resp.Header.Get("Retry-After"), now)
	}
	value := ""
	if names.rateLimit != "" {
		value = resp.Header.Get(names.rateLimit)
	}
	if value == "" {
		return n, err
	}
	limit, parseErr := strconv.ParseFloat(value, 64)
	if parseErr != nil || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
		n.LimitUnreadable = true
		return n, errors.Errorf("%s is no rate of requests: %q", names.rateLimit, value)
	}
	n.Limit = max(target.RateLimit(limit), target.MinRateLimit)
	return n, err
}

// maxRetryAfter bounds a Retry-After. No operator lets a target run for longer without a change.
const maxRetryAfter = 24 * time.Hour

// parseRetryAfter parses a Retry-After: seconds, also with a fraction, or a date (RFC 9110,
// 10.2.3). An empty value stands for no pause.
func parseRetryAfter(value string, now time.Time) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 {
		return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
	}
	if date, err := http.ParseTime(value); err == nil {
		return min(max(0, date.Sub(now)), maxRetryAfter), nil
	}
	return 0, errors.Errorf("Retry-After is neither seconds nor a date: %q", value)
}
