package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and reports whether ctx is not done yet.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
