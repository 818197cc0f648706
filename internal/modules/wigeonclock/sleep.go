package wigeonclock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if the context is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
