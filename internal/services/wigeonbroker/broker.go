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
	// checkPeriod is the resolution of all waits.
	checkPeriod = 50 * time.Millisecond
	// searchPause is the time between questions for a shard's owner, spread by half of it. After
	// fastSearches it grows with the fleet: whichever becomes the owner tells those who asked it.
	searchPause            = 200 * time.Millisecond
	searchPausePerInstance = time.Millisecond
	// fastSearches is two rounds of all candidates: the first may have gone to the former owner.
	fastSearches = 2 * searchCandidates
	// maxRedirects bounds the redirects followed without a pause.
	maxRedirects = 3
	// searchCandidates is the number of instances asked in turn.
	searchCandidates = 3
	// tableAfter is the number of fruitless questions after which the lease row is read, and then each time again.
	tableAfter = 12
	// tableTimeout bounds one read of a lease row.
	tableTimeout = time.Second
	// defaultNoOwnerTimeout bounds the search for an owner on behalf of one request. A takeover after a kill
	// takes less than 5 s.
	defaultNoOwnerTimeout = 8 * time.Second
	// minSearchTime is the least time that a request waits for an owner while others have waited in vain.
	minSearchTime = time.Second
	// repeatPeriod is the time after which an unanswered question is repeated; the owner answers a repeat like
	// the first.
	repeatPeriod = 5 * time.Second
	// failedFor is the time for which an owner that was lost is not asked again on another's word.
	failedFor = 3 * time.Second
	// reportPeriod is the time between full reports to an owner, against lost ones. It also keeps the session.
	reportPeriod = 4 * time.Minute
)

// Broker implements wigeonshift.PermitBroker.
type Broker struct {
	network        wigeonshift.PeerNetwork
	members        wigeonshift.Membership
	leases         *wigeonlease.Store
	scope          tally.Scope
	log            logrus.FieldLogger
	noOwnerTimeout time.Duration
	// configuration is nil without WithConfiguration.
	configuration wigeonshift.ConfigurationSource

	ctx    context.Context //nolint:containedctx // The broker's own life, from Start to Stop.
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu     sync.Mutex
	shards map[wigeonshift.ShardID]*shard
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

// WithNoOwnerTimeout sets the bound on the search for an owner on behalf of one request.
func WithNoOwnerTimeout(d time.Duration) Option {
	return func(b *Broker) { b.noOwnerTimeout = d }
}

// WithConfiguration lets the broker send requests of a shard that the configuration no longer has to another one of
// its pool.
func WithConfiguration(c wigeonshift.ConfigurationSource) Option {
	return func(b *Broker) { b.configuration = c }
}

// New returns a broker. It must be called before the network starts.
func New(network wigeonshift.PeerNetwork, members wigeonshift.Membership, table wigeonshift.Table, opts ...Option) *Broker {
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	b := &Broker{
		network: network, members: members, leases: wigeonlease.NewStore(table), scope: tally.NoopScope, log: silent,
		noOwnerTimeout: defaultNoOwnerTimeout, shards: map[wigeonshift.ShardID]*shard{},
	}
	for _, opt := range opts {
		opt(b)
	}
	network.Subscribe(b.receive)
	network.SubscribeLost(b.ownerLost)
	return b
}

// Start begins to work on questions.
func (b *Broker) Start(_ context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.wg.Go(b.run)
	return nil
}

// Stop ends the work; open sessions hear nothing more.
func (b *Broker) Stop(_ context.Context) error {
	if b.cancel == nil {
		return nil
	}
	b.cancel()
	b.wg.Wait()
	return nil
}

// Ask sends a permit request. It does not wait for the owner: when none is found in time, Answers is closed.
func (b *Broker) Ask(_ context.Context, r wigeonshift.PermitRequest) (wigeonshift.PermitSession, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return nil, oops.In("broker").With("shard", r.Shard).Wrap(wigeonshift.ErrNoOwner)
	}
	st := b.shards[r.Shard]
	if st == nil {
		st = newShard(r.Shard)
		b.shards[r.Shard] = st
	}
	s := newSession(b, st, r)
	st.sessions[r.ID] = s
	if st.confirmed {
		b.sendAsk(s)
	} else {
		b.search(st)
	}
	return s, nil
}

// run repeats and gives up questions.
func (b *Broker) run() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-ticker.C:
			b.check(time.Now())
		}
	}
}

// check does what is due in every shard.
func (b *Broker) check(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.shards {
		switch {
		case st.confirmed || !st.busy():
			st.ownerlessSince = time.Time{}
		case st.ownerlessSince.IsZero():
			st.ownerlessSince = now
		}
		if !st.confirmed && st.busy() && !now.Before(st.searchAt) {
			st.redirects = 0
			b.search(st)
		}
		if st.confirmed && st.hasAttempts() && now.Sub(st.reportedAt) >= reportPeriod {
			b.report(st)
		}
		if !st.confirmed && len(st.sessions) > 0 {
			b.spillVanished(st)
		}
		for _, s := range st.sessions {
			b.checkSession(s, now)
		}
	}
}

// checkSession repeats a question without an answer and gives up one without an owner.
func (b *Broker) checkSession(s *session, now time.Time) {
	if s.state != stateWaiting {
		return
	}
	if s.shard.confirmed {
		if now.Sub(s.askedAt) >= repeatPeriod {
			b.retried("silence")
			b.sendAsk(s)
		}
		return
	}
	if now.Sub(s.shard.ownerlessSince) >= b.noOwnerTimeout && now.Sub(s.createdAt) >= minSearchTime {
		b.scope.Counter("brokerNoOwner").Inc(1)
		b.log.WithField("requestId", s.request.ID).WithField("shard", s.request.Shard).Warn("No owner found in time")
		s.finish()
	}
}

// sendAsk sends the question to the owner.
func (b *Broker) sendAsk(s *session) {
	s.askedAt = time.Now()
	s.askedOwner = s.shard.owner.ID
	b.sendOwner(s.shard, wigeonshift.PermitAsk{Request: s.request})
}

// sendOwner sends a message to the shard's owner and looks for another one when it can't be reached.
func (b *Broker) sendOwner(st *shard, m wigeonshift.PeerMessage) bool {
	if err := b.network.Send(b.ctx, st.owner, m); err != nil {
		b.scope.Counter("brokerSendsFailed").Inc(1)
		b.forget(st)
		return false
	}
	return true
}

// retried counts one repeat of a question.
func (b *Broker) retried(reason string) {
	b.scope.Tagged(map[string]string{"reason": reason}).Counter("brokerRetries").Inc(1)
}

// jittered spreads a pause by half of it in both directions.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}
