// Package wigeonowner runs the shards that an instance owns: it feeds events to the reducer of each and turns the
// effects into messages, calls of endpoints and rows.
package wigeonowner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultRebuildTime bounds the wait for entries' reports after a takeover.
	defaultRebuildTime = 700 * time.Millisecond
	// handOverRebuildTime is the same after a planned hand-over, where entries are told at once.
	handOverRebuildTime = 100 * time.Millisecond
	// refreshPause spaces the work after changes of the membership, which come in bursts.
	refreshPause = 200 * time.Millisecond
	// entryGrace is the time in which an entry whose session is gone may come back.
	entryGrace = 5 * time.Second
	// releaseTimeout bounds the release of leases at a stop.
	releaseTimeout = 2 * time.Second
	// announceLimit is the largest fleet in which a new owner tells every instance.
	announceLimit = 64
)

// Manager bids for shards and runs the ones that this instance owns.
type Manager struct {
	network       wigeonshift.PeerNetwork
	members       wigeonshift.Membership
	table         wigeonshift.Table
	weights       wigeonshift.WeightStore
	configuration wigeonshift.ConfigurationSource
	dialer        wigeonshift.EndpointDialer
	scope         tally.Scope
	log           logrus.FieldLogger
	policy        []wigeonscheduler.Option
	rebuildTime   time.Duration

	store      *wigeonlease.Store
	quarantine *quarantineWriter
	counters   *counters
	ctx        context.Context //nolint:containedctx // The manager's own life, from Start to Stop.
	cancel     context.CancelFunc
	wg         conc.WaitGroup

	// moving is set while a shard moves to its first candidate.
	moving atomic.Bool

	mu       sync.Mutex
	draining bool
	stopped  bool
	shards   map[wigeonshift.ShardID]*shard
	// located holds what other instances told about owners of shards.
	located map[wigeonshift.ShardID]wigeonshift.Instance
	// lostEntries holds entries without a session, by the time of the loss.
	lostEntries map[string]time.Time
}

// New returns a manager. It must be called before the network starts.
func New(network wigeonshift.PeerNetwork, members wigeonshift.Membership, table wigeonshift.Table,
	weights wigeonshift.WeightStore, configuration wigeonshift.ConfigurationSource, dialer wigeonshift.EndpointDialer,
	opts ...Option,
) *Manager {
	m := &Manager{
		network: network, members: members, table: table, weights: weights, configuration: configuration,
		dialer: dialer, scope: tally.NoopScope, log: discardLogger(), rebuildTime: defaultRebuildTime,
		store:       wigeonlease.NewStore(table),
		shards:      map[wigeonshift.ShardID]*shard{},
		located:     map[wigeonshift.ShardID]wigeonshift.Instance{},
		lostEntries: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.counters = newCounters(m.scope)
	m.quarantine = newQuarantineWriter(table, m.log, m.counters)
	network.Subscribe(m.receive)
	network.SubscribeLost(m.entryLost)
	return m
}

// Start begins to bid for shards.
func (m *Manager) Start(_ context.Context) error {
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.run)
	m.wg.Go(m.runQuarantine)
	return nil
}

// Stop ends all work. Leases that Drain did not hand over are released, or run out when the table can't be written.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	if m.cancel == nil {
		return nil
	}
	m.releaseAll(ctx)
	m.cancel()
	m.wg.Wait()
	return nil
}

// releaseAll gives up the leases that are still held.
func (m *Manager) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, s := range m.owned() {
		s.keeper.SetRank(-1)
		if _, held := s.keeper.Held(); !held {
			continue
		}
		if _, err := s.keeper.Transfer(ctx, wigeonshift.Instance{}); err != nil {
			m.log.WithError(err).WithField("shard", s.id).Warn("Lease can't be released")
			return
		}
	}
}

// Statuses returns the state of every shard owned here, ordered by id.
func (m *Manager) Statuses() []wigeonshift.ShardStatus {
	var statuses []wigeonshift.ShardStatus
	for _, s := range m.owned() {
		statuses = append(statuses, s.status())
	}
	return statuses
}

// run keeps the set of shards up to the configuration and the membership.
func (m *Manager) run() {
	pause := time.NewTicker(refreshPause)
	defer pause.Stop()
	for {
		configurationChanged, membersChanged := m.configuration.Changed(), m.members.Changed()
		m.refresh()
		for waiting := true; waiting; {
			select {
			case <-m.ctx.Done():
				return
			case <-configurationChanged:
				waiting = false
			case <-membersChanged:
				waiting = false
			case <-pause.C:
				m.expireEntries()
				m.balance()
			}
		}
		select {
		case <-m.ctx.Done():
			return
		case <-pause.C:
		}
	}
}

// refresh bids for the shards for which this instance is a candidate and leaves the others.
func (m *Manager) refresh() {
	c := m.configuration.Current()
	if c == nil {
		return
	}
	live, self := m.members.Live(), m.network.Self().ID
	wanted := map[wigeonshift.ShardID]bool{}
	for _, id := range c.Shards() {
		wanted[id] = true
		rank := wigeonlease.Rank(id, live, self)
		m.bid(id, rank, c)
	}
	for _, s := range m.all() {
		if !wanted[s.id] {
			m.leave(s)
		}
	}
}

// bid makes or updates the shard's keeper.
func (m *Manager) bid(id wigeonshift.ShardID, rank int, c *wigeonshift.Configuration) {
	m.mu.Lock()
	s := m.shards[id]
	if m.draining || m.stopped || rank > wigeonlease.WatcherCount {
		rank = -1
	}
	if s == nil {
		if rank < 0 {
			m.mu.Unlock()
			return
		}
		s = newShard(m, id)
		m.shards[id] = s
		m.wg.Go(s.run)
	}
	m.mu.Unlock()
	s.keeper.SetRank(rank)
	s.configure(c)
	if rank < 0 && !s.isOwner() {
		m.leave(s)
	}
}

// leave ends the work on a shard.
func (m *Manager) leave(s *shard) {
	m.mu.Lock()
	delete(m.shards, s.id)
	m.mu.Unlock()
	s.cancel()
}

// all returns every shard that is watched or owned, ordered by id.
func (m *Manager) all() []*shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	shards := make([]*shard, 0, len(m.shards))
	for _, s := range m.shards {
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b *shard) int { return strings.Compare(string(a.id), string(b.id)) })
	return shards
}

// owned returns the shards that are owned here.
func (m *Manager) owned() []*shard {
	return slices.DeleteFunc(m.all(), func(s *shard) bool { return !s.isOwner() })
}

// shard returns the state of a shard that is watched or owned, nil for others.
func (m *Manager) shard(id wigeonshift.ShardID) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[id]
}

// isDraining tells whether Drain was called.
func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// entryLost notes that an entry's session is gone; it may come back within the grace.
func (m *Manager) entryLost(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.lostEntries[i.ID]; !ok {
		m.lostEntries[i.ID] = time.Now()
	}
}

// entrySeen notes that an entry spoke.
func (m *Manager) entrySeen(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lostEntries, id)
}

// expireEntries tells the shards about entries that did not come back.
func (m *Manager) expireEntries() {
	var gone []string
	m.mu.Lock()
	for id, at := range m.lostEntries {
		if time.Since(at) >= entryGrace {
			gone = append(gone, id)
			delete(m.lostEntries, id)
		}
	}
	m.mu.Unlock()
	slices.Sort(gone)
	for _, s := range m.owned() {
		for _, id := range gone {
			s.entryGone(id)
		}
	}
}
