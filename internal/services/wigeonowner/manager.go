// Package wigeonowner runs the shards that this instance owns. It passes events to each shard's reducer and executes
// the resulting effects as messages, endpoint calls and table writes.
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
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultRebuildTimeout limits how long a new owner waits for the entries' reports after a takeover.
	defaultRebuildTimeout = 700 * time.Millisecond
	// handoverRebuildTimeout is the same limit after a planned handover. It is shorter because the entries are notified at
	// once.
	handoverRebuildTimeout = 100 * time.Millisecond
	// refreshInterval is the minimum time between two refreshes of the shards. Membership changes come in bursts.
	refreshInterval = 200 * time.Millisecond
	// entryGracePeriod is how long an entry instance may stay disconnected before it counts as lost.
	entryGracePeriod = 5 * time.Second
	// releaseTimeout limits the release of all leases in Stop.
	releaseTimeout = 2 * time.Second
	// maxAnnounceInstances is the largest fleet in which a new owner notifies every instance.
	maxAnnounceInstances = 64
)

// Manager competes for shard leases and runs the shards that this instance owns.
type Manager struct {
	network        wigeonshift.PeerNetwork
	members        wigeonshift.Membership
	table          wigeonshift.Table
	weights        wigeonshift.WeightStore
	configuration  wigeonshift.ConfigurationSource
	dialer         wigeonshift.EndpointDialer
	scope          tally.Scope
	log            logrus.FieldLogger
	reducerOptions []wigeonscheduler.Option
	rebuildTimeout time.Duration

	leases     *wigeonlease.Store
	quarantine *wigeonquarantine.Writer
	counters   *counters
	ctx        context.Context //nolint:containedctx // Lives from Start to Stop.
	cancel     context.CancelFunc
	wg         conc.WaitGroup

	// moveInProgress is set while a shard moves to its first candidate. Drain sets it permanently to prevent further
	// moves.
	moveInProgress atomic.Bool

	mu       sync.Mutex
	draining bool
	stopped  bool
	shards   map[wigeonshift.ShardID]*shard
	// knownOwners holds the shard owners that other instances have reported.
	knownOwners map[wigeonshift.ShardID]wigeonshift.Instance
	// disconnectedEntries maps the ids of entry instances without a session to the time of their disconnection.
	disconnectedEntries map[string]time.Time
}

// New returns a manager and subscribes it to the network. It must be called before the network starts.
func New(network wigeonshift.PeerNetwork, members wigeonshift.Membership, table wigeonshift.Table,
	weights wigeonshift.WeightStore, configuration wigeonshift.ConfigurationSource, dialer wigeonshift.EndpointDialer,
	opts ...Option,
) *Manager {
	m := &Manager{
		network: network, members: members, table: table, weights: weights, configuration: configuration,
		dialer: dialer, scope: tally.NoopScope, log: discardLogger(), rebuildTimeout: defaultRebuildTimeout,
		leases:              wigeonlease.NewStore(table),
		shards:              map[wigeonshift.ShardID]*shard{},
		knownOwners:         map[wigeonshift.ShardID]wigeonshift.Instance{},
		disconnectedEntries: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.counters = newCounters(m.scope)
	m.quarantine = m.newQuarantineWriter()
	network.Subscribe(m.handleMessage)
	network.SubscribePeerLost(m.handleSessionLost)
	return m
}

// Start begins to compete for shard leases.
func (m *Manager) Start(_ context.Context) error {
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.run)
	m.wg.Go(m.runQuarantine)
	return nil
}

// Stop ends all work. It releases the leases that Drain didn't hand over. If the table can't be written, they expire
// instead.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	if m.cancel == nil {
		return nil
	}
	m.releaseLeases(ctx)
	m.cancel()
	m.wg.Wait()
	return nil
}

// releaseLeases releases all leases that are still held. It stops at the first failure.
func (m *Manager) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, s := range m.ownedShards() {
		s.elector.SetRank(-1)
		if _, held := s.elector.Held(); !held {
			continue
		}
		if _, err := s.elector.Transfer(ctx, wigeonshift.Instance{}); err != nil {
			m.log.WithError(err).WithField("shard", s.id).Warn("Failed to release lease")
			return
		}
	}
}

// Statuses returns the status of every shard that this instance owns, ordered by id.
func (m *Manager) Statuses() []wigeonshift.ShardStatus {
	var statuses []wigeonshift.ShardStatus
	for _, s := range m.ownedShards() {
		statuses = append(statuses, s.status())
	}
	return statuses
}

// run refreshes the set of shards when the configuration or the membership changes. Between changes it periodically
// expires disconnected entries and rebalances shards.
func (m *Manager) run() {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		configurationChanged, membersChanged := m.configuration.Changed(), m.members.Changed()
		m.refreshShards()
		for waiting := true; waiting; {
			select {
			case <-m.ctx.Done():
				return
			case <-configurationChanged:
				waiting = false
			case <-membersChanged:
				waiting = false
			case <-ticker.C:
				m.expireEntries()
				m.startRebalance()
			}
		}
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshShards starts, updates and removes shards to match the configuration and the membership.
func (m *Manager) refreshShards() {
	c := m.configuration.Current()
	if c == nil {
		return
	}
	live, self := m.members.Live(), m.network.Self().ID
	wanted := map[wigeonshift.ShardID]bool{}
	for _, id := range c.Shards() {
		wanted[id] = true
		rank := wigeonlease.Rank(id, live, self)
		m.updateShard(id, rank, c)
	}
	for _, s := range m.allShards() {
		if !wanted[s.id] {
			m.removeShard(s)
		}
	}
}

// updateShard applies this instance's rank and the configuration to a shard. It starts the shard if this instance has
// become a candidate, and removes it if this instance is neither a candidate nor the owner.
func (m *Manager) updateShard(id wigeonshift.ShardID, rank int, c *wigeonshift.Configuration) {
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
	s.elector.SetRank(rank)
	s.configure(c)
	if rank < 0 && !s.isOwner() {
		m.removeShard(s)
	}
}

// removeShard forgets a shard and ends its goroutines.
func (m *Manager) removeShard(s *shard) {
	m.mu.Lock()
	delete(m.shards, s.id)
	m.mu.Unlock()
	s.cancel()
}

// allShards returns every shard that this instance watches or owns, ordered by id.
func (m *Manager) allShards() []*shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	shards := make([]*shard, 0, len(m.shards))
	for _, s := range m.shards {
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b *shard) int { return strings.Compare(string(a.id), string(b.id)) })
	return shards
}

// ownedShards returns the shards that this instance owns, ordered by id.
func (m *Manager) ownedShards() []*shard {
	return slices.DeleteFunc(m.allShards(), func(s *shard) bool { return !s.isOwner() })
}

// shard returns a shard that this instance watches or owns, or nil.
func (m *Manager) shard(id wigeonshift.ShardID) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[id]
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// handleSessionLost records when the last session with an instance ended. The instance may reconnect within
// entryGracePeriod.
func (m *Manager) handleSessionLost(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.disconnectedEntries[i.ID]; !ok {
		m.disconnectedEntries[i.ID] = time.Now()
	}
}

// markEntryConnected records that a message from an entry instance has arrived.
func (m *Manager) markEntryConnected(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.disconnectedEntries, id)
}

// expireEntries removes entries that have been disconnected for entryGracePeriod from all owned shards.
func (m *Manager) expireEntries() {
	var expired []string
	m.mu.Lock()
	for id, at := range m.disconnectedEntries {
		if time.Since(at) >= entryGracePeriod {
			expired = append(expired, id)
			delete(m.disconnectedEntries, id)
		}
	}
	m.mu.Unlock()
	slices.Sort(expired)
	for _, s := range m.ownedShards() {
		for _, id := range expired {
			s.removeEntry(id)
		}
	}
}
