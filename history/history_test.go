package history

import (
	"testing"

	"github.com/matryer/is"
)

func TestRevisionsOrderWithinOneHistoryOnly(t *testing.T) {
	is := is.New(t)
	old, restored := Reading{History: 1, Revision: 90, At: 1000}, Reading{History: 2, Revision: 40, At: 1100}
	is.True(old.Before(restored))
	is.True(!restored.Before(old))
	restored.At = 5 // the restored store's clock may have started again
	is.True(old.Before(restored) && old.ConfirmedBefore(restored))
	is.True(!restored.Before(old) && !restored.ConfirmedBefore(old))
	later := Reading{History: 2, Revision: 41, At: 6}
	is.True(restored.Before(later) && !later.Before(restored))
}

func TestUnknownHistoryIsNeitherEarlierNorLater(t *testing.T) {
	is := is.New(t)
	is.True(!ID(0).Before(3) && !ID(3).Before(0) && ID(0).Comparable(3))
	is.True(Reading{Revision: 1, At: 1}.Before(Reading{History: 3, Revision: 2, At: 2}))
	is.True(!Reading{Revision: 2, At: 2}.Before(Reading{History: 3, Revision: 2, At: 2}))
}
