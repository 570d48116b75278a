package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForReturnsAfterDurationOrContextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		start := time.Now()
		is.True(For(ctx, time.Second))
		is.Equal(time.Since(start), time.Second)
		is.True(!For(ctx, time.Minute))
		is.Equal(time.Since(start), 3*time.Second)
	})
}
