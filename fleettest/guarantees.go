package fleettest

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/finding"
)

// CheckGuarantees compares the requests that the targets ran with the responses that the
// callers received, and returns an error with every violation of these guarantees:
//
//   - a caller receives the complete response to its own request,
//   - a request that is reported as not run did not run,
//   - a non-idempotent request, here each POST, runs at most once.
func CheckGuarantees(targets []*Target, callers []*Caller) error {
	runs := make(map[string]int)
	var violations finding.List
	report := func(id, message string) {
		violations = append(violations, finding.Finding{Message: "request " + id + " " + message})
	}
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.ID]++
			if r.Method == http.MethodPost && runs[r.ID] == 2 {
				report(r.ID, "is not idempotent but ran twice")
			}
		}
	}
	for _, c := range callers {
		for _, response := range c.Responses() {
			switch {
			case response.Result == caller.NotRun && runs[response.ID] > 0 && response.ID != "":
				report(response.ID, "ran, but its caller was told that it did not run")
			case response.Status == http.StatusOK && response.Err == nil && response.Body != bodyFor(response.ID):
				report(response.ID, "has the wrong response body: "+response.Body)
			}
		}
	}
	return errors.WithStack(violations.Err())
}
