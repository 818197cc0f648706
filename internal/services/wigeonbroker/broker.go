// Package wigeonbroker asks the owners of shards for permits on behalf of an instance's own requests.
package wigeonbroker

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const (
	// checkInterval is how often run looks for timeouts and retries that are due.
	checkInterval = 50 * time.Millisecond
	// searchInterval is the mean time between two OwnerAsk messages for a shard. After fastSearchCount messages the
	// interval grows with the number of instances. A slow search is enough then, because an instance that becomes
	// the owner notifies every instance that asked it.
	searchInterval            = 200 * time.Millisecond
	searchIntervalPerInstance = time.Millisecond
	// fastSearchCount is two rounds over all candidates, because the first round may still reach the former owner.
	fastSearchCount = 2 * candidateCount
	// maxRedirects is the number of redirects that the broker follows without waiting for the search interval.
	maxRedirects = 3
	// candidateCount is the number of instances that a search asks in turn.
	candidateCount = 3
	// searchesPerLeaseRead is the number of searches without result after which the shard's lease row is read. The row
	// is read again after every further searchesPerLeaseRead searches.
	searchesPerLeaseRead = 12
	// leaseReadTimeout limits one read of a lease row.
	leaseReadTimeout = time.Second
	// defaultNoOwnerTimeout is the default limit for finding the owner of a shard with open requests. It exceeds the
	// time of a takeover after a killed owner, which is less than 5 s.
	defaultNoOwnerTimeout = 8 * time.Second
	// minOwnerWait is the minimum time that a new request waits for an owner, even when the shard has already been
	// without an owner for longer than the limit.
	minOwnerWait = time.Second
	// askRetryInterval is the time after which an unanswered PermitAsk is sent again. The owner answers a repeated
	// PermitAsk like the first one.
	askRetryInterval = 5 * time.Second
	// lostOwnerBackoff is the time during which the broker ignores redirects and lease rows that name an owner that it
	// has just lost.
	lostOwnerBackoff = 3 * time.Second
	// runningNoticeInterval is the time between two RunningNotice messages to an owner. They replace lost reports and
	// keep the peer session open.
	runningNoticeInterval = 4 * time.Minute
)

// Broker implements wigeonshift.PermitBroker.
type Broker struct {
	network        wigeonshift.PeerNetwork
	members        wigeonshift.Membership
	leases         *wigeonlease.Store
	scope          tally.Scope
	log            logrus.FieldLogger
	noOwnerTimeout time.Duration
	// configuration is nil unless WithConfiguration is used.
	configuration wigeonshift.ConfigurationSource

	ctx    context.Context //nolint:containedctx // Lives from Start to Stop.
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu     sync.Mutex
	shards map[wigeonshift.ShardID]*shardState
}

// Option changes a setting of a Broker.
type Option func(*Broker)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(b *Broker) { b.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(b *Broker) { b.log = l }
}

// WithNoOwnerTimeout sets the limit for finding the owner of a shard with open requests. The broker gives up requests
// that still have no owner after this time.
func WithNoOwnerTimeout(d time.Duration) Option {
	return func(b *Broker) { b.noOwnerTimeout = d }
}

// WithConfiguration sets the configuration source. With it, the broker moves requests of a shard that was removed from
// the configuration to another shard of the same pool.
func WithConfiguration(c wigeonshift.ConfigurationSource) Option {
	return func(b *Broker) { b.configuration = c }
}

// New returns a broker. It must be called before the network starts, because it subscribes to peer messages.
func New(network wigeonshift.PeerNetwork, members wigeonshift.Membership, table wigeonshift.Table, opts ...Option) *Broker {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	b := &Broker{
		network: network, members: members, leases: wigeonlease.NewStore(table), scope: tally.NoopScope, log: discard,
		noOwnerTimeout: defaultNoOwnerTimeout, shards: map[wigeonshift.ShardID]*shardState{},
	}
	for _, opt := range opts {
		opt(b)
	}
	network.Subscribe(b.handlePeerMessage)
	network.SubscribePeerLost(b.handlePeerLost)
	return b
}

// Start starts the goroutine that searches for owners and repeats unanswered requests.
func (b *Broker) Start(_ context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.wg.Go(b.run)
	return nil
}

// Stop stops the broker and waits for its goroutines. The Answers channels of open sessions are not closed.
func (b *Broker) Stop(_ context.Context) error {
	if b.cancel == nil {
		return nil
	}
	b.cancel()
	b.wg.Wait()
	return nil
}

// RequestPermit sends a permit request to the shard's owner, or starts a search for the owner. It does not wait for an
// answer. When no owner is found in time, the session's Answers channel is closed.
func (b *Broker) RequestPermit(_ context.Context, r wigeonshift.PermitRequest) (wigeonshift.PermitSession, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return nil, oops.In("broker").With("shard", r.Shard).Wrap(wigeonshift.ErrNoOwner)
	}
	st := b.shards[r.Shard]
	if st == nil {
		st = newShardState(r.Shard)
		b.shards[r.Shard] = st
	}
	s := newSession(b, st, r)
	st.sessions[r.ID] = s
	if st.ownerConfirmed {
		b.sendPermitAsk(s)
	} else {
		b.searchOwner(st)
	}
	return s, nil
}

// run calls checkShards periodically until Stop.
func (b *Broker) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.C:
			b.checkShards(time.Now())
		}
	}
}

// checkShards performs the retries, searches and notices that are due in every shard.
func (b *Broker) checkShards(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.shards {
		switch {
		case st.ownerConfirmed || !st.needsOwner():
			st.waitingForOwnerSince = time.Time{}
		case st.waitingForOwnerSince.IsZero():
			st.waitingForOwnerSince = now
		}
		if !st.ownerConfirmed && st.needsOwner() && !now.Before(st.nextSearchAt) {
			st.redirectCount = 0
			b.searchOwner(st)
		}
		if st.ownerConfirmed && st.hasRunningAttempts() && now.Sub(st.runningNoticeAt) >= runningNoticeInterval {
			b.sendRunningNotice(st)
		}
		if !st.ownerConfirmed && len(st.sessions) > 0 {
			b.spillRemovedShard(st)
		}
		for _, s := range st.sessions {
			b.checkSession(s, now)
		}
	}
}

// checkSession sends a waiting permit request again when its answer is overdue, or ends the session when no owner was
// found in time.
func (b *Broker) checkSession(s *session, now time.Time) {
	if s.state != stateWaiting {
		return
	}
	if s.shard.ownerConfirmed {
		if now.Sub(s.askSentAt) >= askRetryInterval {
			b.countRetry("silence")
			b.sendPermitAsk(s)
		}
		return
	}
	if now.Sub(s.shard.waitingForOwnerSince) >= b.noOwnerTimeout && now.Sub(s.createdAt) >= minOwnerWait {
		b.scope.Counter("brokerNoOwner").Inc(1)
		b.log.WithField("requestId", s.request.ID).WithField("shard", s.request.Shard).Warn("gave up permit request: no owner found in time")
		s.closeAnswers()
	}
}

// sendPermitAsk sends the session's permit request to the shard's owner.
func (b *Broker) sendPermitAsk(s *session) {
	s.askSentAt = time.Now()
	s.askedOwnerID = s.shard.owner.ID
	b.sendToOwner(s.shard, wigeonshift.PermitAsk{Request: s.request})
}

// sendToOwner sends a message to the shard's owner. If the send fails, it drops the owner and returns false.
func (b *Broker) sendToOwner(st *shardState, m wigeonshift.PeerMessage) bool {
	if err := b.network.Send(b.ctx, st.owner, m); err != nil {
		b.scope.Counter("brokerSendsFailed").Inc(1)
		b.dropOwner(st)
		return false
	}
	return true
}

// countRetry counts one repeated message under a reason.
func (b *Broker) countRetry(reason string) {
	b.scope.Tagged(map[string]string{"reason": reason}).Counter("brokerRetries").Inc(1)
}

// jitter returns a random duration from d/2 up to 3*d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
