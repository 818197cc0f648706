package wigeonlease

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Lease timing. A watcher takes over after it has seen the row unchanged for Duration. A killed holder is therefore
// replaced within WatchPeriod + Duration = 4.0 s plus the latency of the table. A holder measures its lease from the
// time it sent the last renewal and stops ExpiryMargin before any watcher can take over. Clocks of different instances
// are never compared. With 125 shards, renewals cause 125 / 1.1 s = 114 writes/s and watchers cause
// 125 / 0.7 s * (1 + 1/2 + 1/3) = 327 reads/s, plus up to a tenth because of jitter.
const (
	// Duration is how long a lease stays valid without a renewal.
	Duration = 3300 * time.Millisecond
	// ExpiryMargin is how long before the end of its lease a holder stops giving fenced orders.
	ExpiryMargin = 500 * time.Millisecond
	// RenewPeriod is the time between renewals by the holder.
	RenewPeriod = 1100 * time.Millisecond
	// WatchPeriod is the read interval of the first watcher. The second watcher reads half as often, the third a third
	// as often.
	WatchPeriod = 700 * time.Millisecond
	// WatcherCount is the number of candidates after the first one that watch a lease.
	WatcherCount = 3

	// rankDelay is the extra wait per rank before a takeover. It keeps later watchers from competing with the first one,
	// which may see a renewal up to one watch period later.
	rankDelay = WatchPeriod
	// retryDelay is the mean delay before the retry of a failed call. The actual delay varies by half of it either way.
	retryDelay = 400 * time.Millisecond
	// callTimeout limits one call to the table.
	callTimeout = time.Second
)

// Elector acquires and renews the lease of one shard for this instance. While another instance holds the lease, it
// watches the lease row and takes over after the lease has expired.
type Elector struct {
	shard wigeonshift.ShardID
	self  wigeonshift.Instance
	store *Store
	// notify receives the events of the lease in order. It is called only from the goroutine of Run.
	notify func(Event)
	scope  tally.Scope
	log    logrus.FieldLogger
	// wakeSignal makes Run read or renew the row immediately.
	wakeSignal chan struct{}
	// rowLock is a one-slot semaphore that serialises the table calls of step and Transfer.
	rowLock chan struct{}

	mu sync.Mutex
	// rank is this instance's position among the candidates. A negative rank keeps it from competing for the lease.
	rank int
	row  Row
	// rowKnown is set once row holds the content of the lease row.
	rowKnown bool
	// revisionSeenAt is the time at which the row's current revision was first read. A failed read resets it to zero.
	revisionSeenAt time.Time
	// owned is set from Acquired until Lost or a transfer.
	owned bool
	// expired is set from Expired until the next Acquired.
	expired bool
	// heldUntil is the time until which this instance may give fenced orders.
	heldUntil  time.Time
	nextStepAt time.Time
}

// Option configures an Elector.
type Option func(*Elector)

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(e *Elector) { e.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(e *Elector) { e.log = l }
}

// NewElector returns an elector for one shard. It makes no calls before Run.
func NewElector(shard wigeonshift.ShardID, self wigeonshift.Instance, store *Store, notify func(Event), opts ...Option) *Elector {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	e := &Elector{
		shard: shard, self: self, store: store, notify: notify, scope: tally.NoopScope, log: discard,
		wakeSignal: make(chan struct{}, 1), rowLock: make(chan struct{}, 1), rank: -1,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetRank sets this instance's position among the candidates for the shard. With a negative rank the elector acquires
// the lease only if the row already names this instance as the holder.
func (e *Elector) SetRank(rank int) {
	e.mu.Lock()
	changed := e.rank != rank
	e.rank = rank
	e.mu.Unlock()
	if changed {
		e.Wake()
	}
}

// Wake makes Run read or renew the row immediately.
func (e *Elector) Wake() {
	select {
	case e.wakeSignal <- struct{}{}:
	default:
	}
}

// Held returns the time until which this instance may give fenced orders. ok is false if it doesn't hold the lease now.
func (e *Elector) Held() (until time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldUntil, e.owned && time.Now().Before(e.heldUntil)
}

// Holder returns the last known holder and its epoch. ok is false if no holder is known.
func (e *Elector) Holder() (holder wigeonshift.Instance, epoch uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row.Holder, e.row.Epoch, e.rowKnown && e.row.Holder.ID != ""
}

// Run acquires, renews and watches the lease until the context ends. It doesn't release the lease.
func (e *Elector) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wakeSignal:
		case <-timer.C:
		}
		e.step(ctx)
		timer.Reset(e.untilNextStep())
	}
}

// step renews the lease if this instance owns it. Otherwise it reads the row and acquires the lease if possible.
func (e *Elector) step(ctx context.Context) {
	e.rowLock <- struct{}{}
	defer func() { <-e.rowLock }()
	e.checkExpiry()
	e.mu.Lock()
	owned := e.owned
	e.mu.Unlock()
	if owned {
		e.renew(ctx)
	} else {
		e.watch(ctx)
	}
	e.checkExpiry()
}

// untilNextStep returns the delay until the next renewal, read or expiry.
func (e *Elector) untilNextStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.nextStepAt
	if e.owned && !e.expired && e.heldUntil.Before(at) {
		at = e.heldUntil
	}
	return max(0, time.Until(at))
}

// checkExpiry reports an Expired event if the lease has run out without a renewal.
func (e *Elector) checkExpiry() {
	e.mu.Lock()
	due := e.owned && !e.expired && !time.Now().Before(e.heldUntil)
	if due {
		e.expired = true
	}
	epoch := e.row.Epoch
	e.mu.Unlock()
	if due {
		e.scope.Counter("leasesLapsed").Inc(1)
		e.log.WithField("shard", e.shard).Warn("Lease expired before it could be renewed")
		e.notify(Event{Kind: Expired, Epoch: epoch})
	}
}

// renew extends the lease. A failed condition means that the row has changed since it was last read or written.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	row := e.row
	e.mu.Unlock()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	renewed, err := e.store.Renew(ctx, e.shard, row)
	if errors.Is(err, wigeonshift.ErrConditionFailed) {
		e.resolveConflict(ctx)
		return
	}
	if err != nil {
		e.handleCallError("renew", err)
		return
	}
	e.markHeld(renewed, sentAt)
}

// resolveConflict reads the row after a renewal found it changed. Either a late write of this instance took effect, or
// another instance has acquired the lease.
func (e *Elector) resolveConflict(ctx context.Context) {
	row, err := e.store.Read(ctx, e.shard)
	if err != nil {
		e.handleCallError("read", err)
		return
	}
	e.mu.Lock()
	stillHolder := row.Holder.ID == e.self.ID && row.Epoch == e.row.Epoch
	if stillHolder {
		e.row, e.nextStepAt = row, time.Now()
	}
	e.mu.Unlock()
	if !stillHolder {
		e.markLost(row)
	}
}

// markLost records that another instance holds the lease and reports a Lost event.
func (e *Elector) markLost(row Row) {
	e.mu.Lock()
	e.owned, e.expired, e.heldUntil = false, false, time.Time{}
	e.recordRow(row)
	e.mu.Unlock()
	e.scope.Counter("leasesLost").Inc(1)
	e.notify(Event{Kind: Lost, Epoch: row.Epoch, Holder: row.Holder})
}

// markHeld records a successful acquisition or renewal. The lease counts from sentAt, the time at which the write was
// sent.
func (e *Elector) markHeld(row Row, sentAt time.Time) {
	e.mu.Lock()
	acquired := !e.owned || e.expired
	e.row, e.rowKnown, e.owned, e.expired = row, true, true, false
	e.heldUntil = sentAt.Add(Duration - ExpiryMargin)
	e.nextStepAt = sentAt.Add(RenewPeriod)
	expired := !time.Now().Before(e.heldUntil)
	if expired {
		// The answer arrived after the new lease had run out. Renew again and report Acquired only if that succeeds.
		e.expired, e.nextStepAt = true, time.Now()
	}
	e.mu.Unlock()
	if acquired && !expired {
		e.scope.Counter("leasesAcquired").Inc(1)
		e.log.WithField("shard", e.shard).WithField("epoch", row.Epoch).Info("Lease acquired")
		e.notify(Event{Kind: Acquired, Epoch: row.Epoch})
	}
}

// handleCallError schedules a retry after a failed call. A failed read also restarts the wait for the row's expiry, so
// that the holder has time to renew after an outage of the table.
func (e *Elector) handleCallError(call string, err error) {
	e.scope.Tagged(map[string]string{"reason": call}).Counter("leaseCallsFailed").Inc(1)
	e.log.WithError(err).WithField("shard", e.shard).Debug("Lease call failed")
	e.mu.Lock()
	defer e.mu.Unlock()
	if call == "read" {
		e.revisionSeenAt = time.Time{}
	}
	e.nextStepAt = time.Now().Add(retryDelay/2 + rand.N(retryDelay))
}
