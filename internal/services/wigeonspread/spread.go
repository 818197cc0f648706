// Package wigeonspread keeps the active configuration of an instance up to date. A few instances poll the platform and
// push changes to the others along a tree of peers. In case a push is lost, each instance also asks its parent
// periodically and polls the platform at a long period.
package wigeonspread

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Limits of the service.
const (
	eventQueueSize    = 512
	outgoingQueueSize = 512
	senderCount       = 4
	sendTimeout       = 2 * time.Second
	tickPeriod        = 250 * time.Millisecond
)

// Settings are the periods and limits of a Spread. With the defaults a change is active on all instances within 12 s.
type Settings struct {
	// PollPeriod is the period in which the polling instances read the platform's head row, which names the newest
	// version.
	PollPeriod time.Duration
	// PollersPerZone is the number of polling instances in each zone.
	PollersPerZone int
	// ParentQueryPeriod is the period in which an instance asks its parent for newer changes.
	ParentQueryPeriod time.Duration
	// FallbackPollPeriod is the period in which the other instances read the head row.
	FallbackPollPeriod time.Duration
	// AckTimeout is the time after which an unacknowledged push or an unanswered query is repeated.
	AckTimeout time.Duration
	// AdoptionAttempts is the number of unacknowledged pushes to a child after which this instance also pushes to the
	// child's own children.
	AdoptionAttempts int
	// MaxPushAttempts is the number of unacknowledged pushes after which this instance gives up on a child. It exceeds
	// AdoptionAttempts, since a child without an answer may have lost messages instead of being dead.
	MaxPushAttempts int
	// FanOut is the number of children of an instance in the tree.
	FanOut int
	// ConfirmationTimeout is the time after the last confirmation by the platform or a peer at which the active version
	// becomes unconfirmed.
	ConfirmationTimeout time.Duration
	// StartupPeers is the number of peers that must confirm the version of a starting instance while the platform is
	// down.
	StartupPeers int
	// StartupTimeout is the time after the first peer's confirmation at which fewer peers suffice.
	StartupTimeout time.Duration
}

// DefaultSettings returns the settings for 1 to 1,500 instances.
func DefaultSettings() Settings {
	return Settings{
		PollPeriod:          2 * time.Second,
		PollersPerZone:      2,
		ParentQueryPeriod:   4 * time.Second,
		FallbackPollPeriod:  5 * time.Minute,
		AckTimeout:          time.Second,
		AdoptionAttempts:    2,
		MaxPushAttempts:     8,
		FanOut:              8,
		ConfirmationTimeout: 12 * time.Second,
		StartupPeers:        3,
		StartupTimeout:      2 * time.Second,
	}
}

// Spread distributes the configuration to the instances. It implements wigeonshift.ConfigurationSource.
type Spread struct {
	repository *wigeonconfig.Repository
	network    wigeonshift.PeerNetwork
	members    wigeonshift.Membership
	settings   Settings
	log        logrus.FieldLogger
	scope      tally.Scope

	active       activeConfiguration
	peerVersions peerVersionTable
	confirmation confirmation
	events       chan event
	outgoing     chan outgoingMessage
	// snapshotCandidates holds configurations that this instance wrote and for which a snapshot may be due.
	snapshotCandidates chan *wigeonshift.Configuration

	// The run goroutine owns the following fields.
	recentChanges changeLog
	pendingPushes map[string]*pendingPush
	nextQueryAt   time.Time
	// queriedPeerID is the peer whose reply to the last query is outstanding; empty if there is none.
	queriedPeerID string
	startedAt     time.Time
	// snapshot is the snapshot that was last encoded for a peer.
	snapshot wigeonshift.ConfigurationSnapshot

	tree   atomic.Pointer[pushTree]
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// Option configures a Spread at construction.
type Option func(*Spread)

// WithSettings replaces the default settings.
func WithSettings(s Settings) Option {
	return func(sp *Spread) { sp.settings = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Spread) { s.log = l }
}

// WithScope sets the metrics scope.
func WithScope(sc tally.Scope) Option {
	return func(s *Spread) { s.scope = sc }
}

// New returns a Spread. It subscribes to the network, so it must be called before the network starts.
func New(r *wigeonconfig.Repository, n wigeonshift.PeerNetwork, m wigeonshift.Membership, opts ...Option) *Spread {
	s := &Spread{
		repository:         r,
		network:            n,
		members:            m,
		settings:           DefaultSettings(),
		log:                logrus.StandardLogger(),
		scope:              tally.NoopScope,
		active:             newActiveConfiguration(),
		events:             make(chan event, eventQueueSize),
		outgoing:           make(chan outgoingMessage, outgoingQueueSize),
		snapshotCandidates: make(chan *wigeonshift.Configuration, 1),
		pendingPushes:      map[string]*pendingPush{},
	}
	for _, o := range opts {
		o(s)
	}
	s.peerVersions = newPeerVersionTable(n.Self())
	n.Subscribe(s.enqueuePeerMessage)
	return s
}

// Start starts the service. It doesn't wait for the first version.
func (s *Spread) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.startedAt = time.Now()
	s.confirmation.setConfirmedAt(s.startedAt)
	s.nextQueryAt = s.startedAt
	s.rebuildTree()
	s.wg.Go(func() { s.run(ctx) })
	p := &poller{spread: s}
	s.wg.Go(func() { p.run(ctx) })
	for range senderCount {
		s.wg.Go(func() { s.runSender(ctx) })
	}
	return nil
}

// Stop stops the service. The active configuration stays readable.
func (s *Spread) Stop(_ context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Current returns the active configuration, or nil before the first one.
func (s *Spread) Current() *wigeonshift.Configuration {
	return s.active.get()
}

// Changed returns a channel that is closed when a newer configuration becomes active.
func (s *Spread) Changed() <-chan struct{} {
	return s.active.changed()
}

// Versions returns the last known versions of the live instances, including this one.
func (s *Spread) Versions() []wigeonshift.InstanceVersion {
	return s.peerVersions.list(s.members.Live(), s.active.version(), time.Now())
}

// ActivateWritten activates a change that this instance has just written to the platform, and pushes it to peers
// immediately.
func (s *Spread) ActivateWritten(ch wigeonshift.Change, c *wigeonshift.Configuration) {
	s.enqueueEvent(event{configuration: c, changes: []wigeonshift.Change{ch}, fromPlatform: true})
	select {
	case s.snapshotCandidates <- c:
	default:
	}
}

// event is an input of run: a message from a peer, or a configuration or changes from the platform.
type event struct {
	from    wigeonshift.Instance
	message wigeonshift.PeerMessage
	// changes are the last changes that lead to configuration, if that is set. Otherwise they are to be applied to the
	// active configuration.
	changes       []wigeonshift.Change
	configuration *wigeonshift.Configuration
	// fromPlatform is set if the changes come from the platform and not from a peer.
	fromPlatform bool
}

// enqueuePeerMessage queues a message from a peer for run. It never blocks.
func (s *Spread) enqueuePeerMessage(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	switch m.(type) {
	case wigeonshift.ConfigurationPush, wigeonshift.ConfigurationAsk, wigeonshift.ConfigurationSnapshot, wigeonshift.ConfigurationHave:
		s.enqueueEvent(event{from: from, message: m})
	}
}

// enqueueEvent queues an event for run. If the queue is full, the event is dropped; the periodic queries and polls
// compensate for it.
func (s *Spread) enqueueEvent(e event) {
	select {
	case s.events <- e:
	default:
		s.scope.Counter("configurationInboxFull").Inc(1)
	}
}

// run handles events, membership changes and ticks until the context ends.
func (s *Spread) run(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	changed := s.members.Changed()
	s.rebuildTree()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = s.members.Changed()
			s.rebuildTree()
		case e := <-s.events:
			s.handleEvent(e)
		case <-t.C:
			s.onTick(time.Now())
		}
	}
}

// rebuildTree updates the push tree and the known versions after a change of the live instances.
func (s *Spread) rebuildTree() {
	live := s.members.Live()
	s.tree.Store(newTree(s.network.Self(), live, s.settings))
	s.peerVersions.retain(live)
}

// jitter returns a random duration within a quarter of d on either side.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
