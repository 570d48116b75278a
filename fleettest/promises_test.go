package fleettest

import (
	"net/http"
	"testing"

	"github.com/crocushinge/crocushinge/caller"
)

func TestEveryHostServes(t *testing.T) {
	inBubble(t, 6, 3, func(f *testFleet) {
		c := f.caller("shop")
		for _, name := range f.Names() {
			told := f.get(c, name)
			f.check(told.Status == http.StatusOK && told.Result == caller.Completed, "%s: %+v", name, told)
			told = f.post(c, name, "")
			f.check(told.Status == http.StatusOK && f.runs(told.ID) == 1, "%s: %+v", name, told)
		}
	})
}
