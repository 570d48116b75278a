package traffic

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

func TestSlotOutcome(t *testing.T) {
	overloaded := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"1"}}}
	tests := []struct {
		name    string
		attempt attempt
		want    caller.SlotOutcome
	}{
		{"refused", attempt{outcome: link.Refused}, caller.SlotShed},
		{"503 with Retry-After", attempt{outcome: link.Failed, response: overloaded}, caller.SlotShed},
		{"deadline exceeded", attempt{outcome: link.TimedOut}, caller.SlotTimedOut},
		{"failed", attempt{outcome: link.Failed}, caller.SlotAccepted},
		{"caller disconnected", attempt{outcome: link.Canceled}, caller.SlotAccepted},
		{"succeeded", attempt{outcome: link.Succeeded}, caller.SlotAccepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.attempt.slotOutcome(), test.want)
		})
	}
}
