package wigeonfollow

import (
	"context"
	"sync"
	"time"

	"wigeonshift"
)

const (
	// maxRefusalTime is the longest time of a failed call that shows a store which refuses calls. One that takes longer may show
	// a slow store or a silent connection, of which each table finds out by itself.
	maxRefusalTime = responseTimeout / 2
	// maxProbeWait is the longest time for which a table waits for the probe, in case the store refuses one table only.
	maxProbeWait = 5 * time.Second
)

// outage is shared by the followers of an instance. While the store refuses all calls, only one follower, the probe, goes on
// calling it; the others wait until the probe gets an answer. Other instances aren't asked, because the store may serve them.
type outage struct {
	mu sync.Mutex
	// refusing is set while the store refuses the calls of the probe.
	refusing bool
	// ended is closed when refusing is cleared.
	ended chan struct{}
}

func newOutage() *outage { return &outage{ended: make(chan struct{})} }

// set records whether the store refuses the calls of the probe.
func (o *outage) set(refusing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusing && !refusing {
		close(o.ended)
		o.ended = make(chan struct{})
	}
	o.refusing = refusing
}

// state returns whether the store refuses the calls of the probe, and a channel that is closed once it no longer does.
func (o *outage) state() (refusing bool, ended <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusing, o.ended
}

// isProbe reports whether this follower goes on calling a store that refuses calls. The table of the configuration has the
// shortest bound.
func (f *follower) isProbe() bool { return f.table == wigeonshift.TableConfiguration }

// waitToRetry waits after a failed call that took some time.
func (f *follower) waitToRetry(ctx context.Context, took time.Duration) {
	refused := took < maxRefusalTime
	if f.isProbe() {
		f.outage.set(refused)
	}
	_, ended := f.outage.state()
	waitUntil(ctx, ended, f.retryDelay())
	if refusing, _ := f.outage.state(); refusing && refused && !f.isProbe() {
		waitUntil(ctx, ended, maxProbeWait)
	}
}

// waitUntil waits for a duration, or until a channel is closed or ctx ends.
func waitUntil(ctx context.Context, ended <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ended:
	case <-ctx.Done():
	}
}
