package fleettest

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/finding"
)

// Broken compares what the targets ran with what the callers were told, and
// returns every promise to a caller that was broken:
//
//   - a caller gets the whole answer to its own request,
//   - a request of which a caller was told that it was not run, was not run,
//   - a non-idempotent request, here each POST, runs at most once.
func Broken(targets []*Target, callers []*Caller) error {
	runs := make(map[string]int)
	var out finding.List
	report := func(id, message string) {
		out = append(out, finding.Finding{Message: "request " + id + " " + message})
	}
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.ID]++
			if r.Method == http.MethodPost && runs[r.ID] == 2 {
				report(r.ID, "a non-idempotent request ran twice")
			}
		}
	}
	for _, c := range callers {
		for _, told := range c.Told() {
			switch {
			case told.Result == caller.NotRun && runs[told.ID] > 0 && told.ID != "":
				report(told.ID, "was told 'not run' of a request that ran")
			case told.Status == http.StatusOK && told.Err == nil && told.Body != answerFor(told.ID):
				report(told.ID, "was given another answer: "+told.Body)
			}
		}
	}
	return errors.WithStack(out.Err())
}
