package traffic

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

func TestEndsOfAttemptsTellTheLoadOfTargets(t *testing.T) {
	busy := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"1"}}}
	cases := []struct {
		name string
		a    attempt
		end  caller.SlotEnd
	}{
		{"refused", attempt{outcome: link.Refused}, caller.SlotShed},
		{"shed with a time to retry", attempt{outcome: link.Failed, response: busy}, caller.SlotShed},
		{"past the deadline", attempt{outcome: link.TimedOut}, caller.SlotLate},
		{"failed", attempt{outcome: link.Failed}, caller.SlotUsed},
		{"the caller left", attempt{outcome: link.Canceled}, caller.SlotUsed},
		{"answered", attempt{outcome: link.Succeeded}, caller.SlotUsed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.a.slotEnd(), c.end)
		})
	}
}
