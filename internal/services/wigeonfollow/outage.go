package wigeonfollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
)

const (
	// maxRefusalTime is the longest time of a failed call that shows a store which refuses calls. One that takes longer may show
	// a slow store or a silent connection, of which each table finds out by itself.
	maxRefusalTime = responseTimeout / 2
	// maxProbeWait is the longest time for which a table waits for the probe, in case the store refuses one table only.
	maxProbeWait = 5 * time.Second
	// retryBaseDelay and retryMaxDelay bound the backoff after a failed call, without its jitter of half.
	retryBaseDelay = 60 * time.Millisecond
	retryMaxDelay  = 500 * time.Millisecond
	// largeFleetRetryDelay is the first delay beyond maxSmallFleet, except for the probe, which is to call first.
	// largeFleetProbeDelay is the shortest delay of the probe there from its second one on. The longest is the same.
	largeFleetRetryDelay = 240 * time.Millisecond
	largeFleetProbeDelay = 650 * time.Millisecond
	// probeFirstDelay is longer than the first delay of the probe with its jitter.
	probeFirstDelay = 100 * time.Millisecond
)

// outage is shared by the followers of an instance. While the store refuses all calls, only one follower, the probe, goes on
// calling it; the others wait until one of them gets an answer. Other instances aren't asked, because the store may serve them.
type outage struct {
	mu sync.Mutex
	// refusing is set while the store refuses the calls of the probe.
	refusing bool
	// ended is closed when a table whose calls had failed gets an answer; endedAt is when that last was.
	ended   chan struct{}
	endedAt time.Time
}

func newOutage() *outage { return &outage{ended: make(chan struct{})} }

// recordFailure records a failed call of the probe.
func (o *outage) recordFailure(refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing = refused
}

// recordAnswer records an answer to a follower whose calls had failed.
func (o *outage) recordAnswer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing, o.endedAt = false, time.Now()
	close(o.ended)
	o.ended = make(chan struct{})
}

// isRefusing reports whether the store refuses the calls of the probe.
func (o *outage) isRefusing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusing
}

// endedSince reports whether the outage has ended since a time, and returns a channel that is closed when one next ends.
func (o *outage) endedSince(at time.Time) (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.endedAt.After(at), o.ended
}

// isProbe reports whether this follower goes on calling a store that refuses calls. The table of the configuration has the
// shortest bound.
func (f *follower) isProbe() bool { return f.table == wigeonshift.TableConfiguration }

// trustsProbe reports whether the probe's refused call shows without a call of its own that the table isn't served either. Endpoints
// have a bound of their own, so that a store which refuses the configuration only mustn't keep them waiting.
func (f *follower) trustsProbe() bool {
	return f.table == wigeonshift.TableInstances || f.table == wigeonshift.TableQuarantine
}

// awaitProbe reports whether the store refuses the calls of the probe. Beyond maxSmallFleet it first lets the probe call.
func (f *follower) awaitProbe(ctx context.Context) bool {
	if f.schedule.instanceCount() > maxSmallFleet {
		wigeonclock.Sleep(ctx, probeFirstDelay)
	}
	return f.outage.isRefusing()
}

// waitToRetry waits after a failed call that was made at a time. An answer to another table's call ends the wait. So does a peer that
// has newer rows while this instance waits for the probe: the store then answers some instances, and the probe may be delayed.
func (f *follower) waitToRetry(ctx context.Context, calledAt time.Time) {
	answered, ended := f.outage.endedSince(calledAt)
	answered = answered || f.waitUntil(ctx, ended, nil, f.retryDelay())
	if !answered && !f.isProbe() && f.outage.isRefusing() {
		// Earlier requests come from the other tables' first failures.
		f.dropRepollRequest()
		answered = f.waitUntil(ctx, ended, f.repollRequests, maxProbeWait)
	}
	if answered {
		f.resume()
	}
}

// resume ends the failure state because another table's call was answered since this one's failed. The next poll goes on a new
// connection and is held like any other. The number of failures stays until it is answered, so that the backoff goes on if not.
func (f *follower) resume() {
	f.store.Reconnect()
	f.endFailure()
	f.pollImmediately, f.repeated = false, true
}

// waitUntil waits for a duration, or until ended is closed, there is a request or a late answer with changes, or ctx ends. It reports
// whether ended was closed.
func (f *follower) waitUntil(ctx context.Context, ended, requests <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case r := <-f.results:
			f.polls.end(r.request)
			if f.isNews(r) {
				f.news = &r
				return false
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-requests:
			return false
		case <-ended:
			return true
		}
	}
}

// retryDelay returns an exponential backoff with jitter, so that instances don't retry at the same time.
func (f *follower) retryDelay() time.Duration {
	base := retryBaseDelay
	large := f.schedule.instanceCount() > maxSmallFleet
	if large && !f.isProbe() {
		base = largeFleetRetryDelay
	}
	delay := min(base<<min(f.failureCount-1, 6), retryMaxDelay)
	jittered := delay/2 + rand.N(delay) //nolint:gosec // The jitter needs no cryptographic randomness.
	if large && f.failureCount > 1 {
		return largeFleetProbeDelay + rand.N(retryMaxDelay*3/2-largeFleetProbeDelay) //nolint:gosec // As above.
	}
	return jittered
}
