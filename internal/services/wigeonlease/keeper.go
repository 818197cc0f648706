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

// The times of a lease. A watcher takes over when it saw the row unchanged for Duration, so a holder that is killed
// is followed after at most WatchPeriod + Duration = 4.0 s and the latency of the table. A holder counts from the
// moment it sent its last renewal and stops Margin earlier than any watcher could start. No clocks are compared
// between instances. At 125 shards renewals make 125 / 1.1 s = 114 writes/s, and watchers make
// 125 / 0.7 s * (1 + 1/2 + 1/3) = 327 reads/s, and up to a tenth more by jitter.
const (
	// Duration is the time that a lease holds without a renewal.
	Duration = 3300 * time.Millisecond
	// Margin is the time by which a holder stops before its lease ends.
	Margin = 500 * time.Millisecond
	// RenewPeriod is the time between renewals.
	RenewPeriod = 1100 * time.Millisecond
	// WatchPeriod is the time between reads of the first watcher; the second reads half as often, and so on.
	WatchPeriod = 700 * time.Millisecond
	// Watchers is the number of candidates after the holder that watch a lease.
	Watchers = 3

	// rankDelay keeps the watchers of later ranks from racing the first, which may see a renewal a watch period later.
	rankDelay = WatchPeriod
	// retryPeriod is the time to the next try after a failed call, spread by half of it.
	retryPeriod = 400 * time.Millisecond
	// callTimeout bounds one call to the table.
	callTimeout = time.Second
)

// Keeper bids for the lease of one shard, renews it and watches it while another instance holds it.
type Keeper struct {
	shard wigeonshift.ShardID
	self  wigeonshift.Instance
	store *Store
	// notify is called from run, in order.
	notify func(Notice)
	scope  tally.Scope
	log    logrus.FieldLogger
	// woken asks run to look at the row at once.
	woken chan struct{}
	// busy holds a token while the row is worked on.
	busy chan struct{}

	mu sync.Mutex
	// rank is this instance's place among the candidates; a negative one doesn't bid.
	rank int
	row  Row
	// known is set once the row was read.
	known bool
	// seenAt is when the row's revision was first seen by an unbroken series of reads.
	seenAt time.Time
	// owned is set between Acquired and Lost or a transfer.
	owned bool
	// lapsed is set between Lapsed and Acquired.
	lapsed bool
	// heldUntil is the time up to which fenced orders may be given.
	heldUntil time.Time
	nextAt    time.Time
}

// Option changes a setting of a Keeper.
type Option func(*Keeper)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(k *Keeper) { k.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(k *Keeper) { k.log = l }
}

// NewKeeper returns a keeper that does nothing before Run.
func NewKeeper(shard wigeonshift.ShardID, self wigeonshift.Instance, store *Store, notify func(Notice), opts ...Option) *Keeper {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	k := &Keeper{
		shard: shard, self: self, store: store, notify: notify, scope: tally.NoopScope, log: silent,
		woken: make(chan struct{}, 1), busy: make(chan struct{}, 1), rank: -1,
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// SetRank tells the keeper its place among the candidates for the shard, negative when it must not bid.
func (k *Keeper) SetRank(rank int) {
	k.mu.Lock()
	changed := k.rank != rank
	k.rank = rank
	k.mu.Unlock()
	if changed {
		k.Wake()
	}
}

// Wake makes the keeper look at the row at once.
func (k *Keeper) Wake() {
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

// Held tells until when fenced orders may be given; ok is false when the lease is not held now.
func (k *Keeper) Held() (until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heldUntil, k.owned && time.Now().Before(k.heldUntil)
}

// Holder returns the last holder seen and its epoch; ok is false when none is known.
func (k *Keeper) Holder() (holder wigeonshift.Instance, epoch uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row.Holder, k.row.Epoch, k.known && k.row.Holder.ID != ""
}

// Run keeps the lease until the context ends. It does not release it.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.woken:
		case <-timer.C:
		}
		k.step(ctx)
		timer.Reset(k.untilNext())
	}
}

// step does what is due.
func (k *Keeper) step(ctx context.Context) {
	k.busy <- struct{}{}
	defer func() { <-k.busy }()
	k.lapseIfDue()
	k.mu.Lock()
	owned := k.owned
	k.mu.Unlock()
	if owned {
		k.renew(ctx)
	} else {
		k.watch(ctx)
	}
	k.lapseIfDue()
}

// untilNext returns the time to the next step.
func (k *Keeper) untilNext() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.nextAt
	if k.owned && !k.lapsed && k.heldUntil.Before(at) {
		at = k.heldUntil
	}
	return max(0, time.Until(at))
}

// lapseIfDue tells that the lease lapsed.
func (k *Keeper) lapseIfDue() {
	k.mu.Lock()
	due := k.owned && !k.lapsed && !time.Now().Before(k.heldUntil)
	if due {
		k.lapsed = true
	}
	epoch := k.row.Epoch
	k.mu.Unlock()
	if due {
		k.scope.Counter("leasesLapsed").Inc(1)
		k.log.WithField("shard", k.shard).Warn("Lease lapsed")
		k.notify(Notice{Kind: Lapsed, Epoch: epoch})
	}
}

// renew prolongs the lease.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	row := k.row
	k.mu.Unlock()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	renewed, err := k.store.Renew(ctx, k.shard, row)
	if errors.Is(err, wigeonshift.ErrConditionFailed) {
		k.reread(ctx)
		return
	}
	if err != nil {
		k.failed("renew", err)
		return
	}
	k.take(renewed, sentAt)
}

// reread finds out why the row is not as it was left: a write of its own that took effect late, or another holder.
func (k *Keeper) reread(ctx context.Context) {
	row, err := k.store.Read(ctx, k.shard)
	if err != nil {
		k.failed("read", err)
		return
	}
	k.mu.Lock()
	mine := row.Holder.ID == k.self.ID && row.Epoch == k.row.Epoch
	if mine {
		k.row, k.nextAt = row, time.Now()
	}
	k.mu.Unlock()
	if !mine {
		k.lose(row)
	}
}

// lose notes that another instance holds the lease.
func (k *Keeper) lose(row Row) {
	k.mu.Lock()
	k.owned, k.lapsed, k.heldUntil = false, false, time.Time{}
	k.see(row)
	k.mu.Unlock()
	k.scope.Counter("leasesLost").Inc(1)
	k.notify(Notice{Kind: Lost, Epoch: row.Epoch, Holder: row.Holder})
}

// take notes that the lease is held, counted from the time at which its write was sent.
func (k *Keeper) take(row Row, sentAt time.Time) {
	k.mu.Lock()
	fresh := !k.owned || k.lapsed
	k.row, k.known, k.owned, k.lapsed = row, true, true, false
	k.heldUntil = sentAt.Add(Duration - Margin)
	k.nextAt = sentAt.Add(RenewPeriod)
	lapsed := !time.Now().Before(k.heldUntil)
	if lapsed {
		// The answer came too late to be of use: renew again, and tell nobody before that worked.
		k.lapsed, k.nextAt = true, time.Now()
	}
	k.mu.Unlock()
	if fresh && !lapsed {
		k.scope.Counter("leasesAcquired").Inc(1)
		k.log.WithField("shard", k.shard).WithField("epoch", row.Epoch).Info("Lease acquired")
		k.notify(Notice{Kind: Acquired, Epoch: row.Epoch})
	}
}

// failed spaces the next try after a failed call. After a failed read, what was seen of the row no longer counts
// towards its expiry: after an outage the holder gets the time to renew.
func (k *Keeper) failed(call string, err error) {
	k.scope.Tagged(map[string]string{"reason": call}).Counter("leaseCallsFailed").Inc(1)
	k.log.WithError(err).WithField("shard", k.shard).Debug("Lease call failed")
	k.mu.Lock()
	defer k.mu.Unlock()
	if call == "read" {
		k.seenAt = time.Time{}
	}
	k.nextAt = time.Now().Add(retryPeriod/2 + rand.N(retryPeriod))
}
