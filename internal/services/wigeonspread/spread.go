// Package wigeonspread keeps the configuration in force on an instance up to date: few instances poll the platform,
// the others learn by push along a tree of peers and ask as a backstop.
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

// Bounds of the service.
const (
	inboxSize   = 512
	outboxSize  = 512
	senders     = 4
	sendTimeout = 2 * time.Second
	tickPeriod  = 250 * time.Millisecond
)

// Settings are the periods and bounds of the spread. Changes are in force everywhere within 12 s with the defaults.
type Settings struct {
	// PollPeriod is the period of the instances that poll the head row.
	PollPeriod time.Duration
	// PollersPerZone is the number of polling instances in each zone.
	PollersPerZone int
	// AskPeriod is the period in which an instance asks its parent for what is newer.
	AskPeriod time.Duration
	// BackstopPeriod is the period in which every other instance reads the head row.
	BackstopPeriod time.Duration
	// AckTimeout is the time after which a push without acknowledgement is repeated.
	AckTimeout time.Duration
	// PushTries is the number of pushes to a child before its own children are pushed to directly.
	PushTries int
	// FanOut is the number of children of an instance in the tree.
	FanOut int
	// ConfirmBound is the time without word from the platform or a peer after which the version counts as unconfirmed.
	ConfirmBound time.Duration
	// StartPeers is the number of peers that a starting instance hears while the platform is down.
	StartPeers int
	// StartWait is the time after which fewer peers suffice.
	StartWait time.Duration
}

// DefaultSettings returns the settings for 1 to 1,500 instances.
func DefaultSettings() Settings {
	return Settings{
		PollPeriod:     2 * time.Second,
		PollersPerZone: 2,
		AskPeriod:      4 * time.Second,
		BackstopPeriod: 5 * time.Minute,
		AckTimeout:     time.Second,
		PushTries:      2,
		FanOut:         8,
		ConfirmBound:   12 * time.Second,
		StartPeers:     3,
		StartWait:      2 * time.Second,
	}
}

// Spread implements wigeonshift.ConfigurationSource.
type Spread struct {
	repository *wigeonconfig.Repository
	network    wigeonshift.PeerNetwork
	members    wigeonshift.Membership
	settings   Settings
	log        logrus.FieldLogger
	scope      tally.Scope

	force    inForce
	versions versionBook
	confirm  confirmation
	inbox    chan event
	outbox   chan outgoing
	due      chan *wigeonshift.Configuration

	// The fields below belong to run.
	recent   changeLog
	pending  map[string]*delivery
	askAt    time.Time
	asked    string
	startAt  time.Time
	snapshot wigeonshift.ConfigurationSnapshot

	tree   atomic.Pointer[tree]
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// Option changes a spread at construction.
type Option func(*Spread)

// WithSettings replaces the periods and bounds.
func WithSettings(s Settings) Option {
	return func(sp *Spread) { sp.settings = s }
}

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Spread) { s.log = l }
}

// WithScope sets the metrics.
func WithScope(sc tally.Scope) Option {
	return func(s *Spread) { s.scope = sc }
}

// New returns a spread. It subscribes to the network, so it is called before the network starts.
func New(r *wigeonconfig.Repository, n wigeonshift.PeerNetwork, m wigeonshift.Membership, opts ...Option) *Spread {
	s := &Spread{
		repository: r,
		network:    n,
		members:    m,
		settings:   DefaultSettings(),
		log:        logrus.StandardLogger(),
		scope:      tally.NoopScope,
		force:      newInForce(),
		inbox:      make(chan event, inboxSize),
		outbox:     make(chan outgoing, outboxSize),
		due:        make(chan *wigeonshift.Configuration, 1),
		pending:    map[string]*delivery{},
	}
	for _, o := range opts {
		o(s)
	}
	s.versions = newVersionBook(n.Self())
	n.Subscribe(s.receive)
	return s
}

// Start begins to follow the configuration. It doesn't wait for the first version.
func (s *Spread) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.startAt = time.Now()
	s.confirm.heard(s.startAt)
	s.askAt = s.startAt
	s.rebuildTree()
	s.wg.Go(func() { s.run(ctx) })
	p := &poller{spread: s}
	s.wg.Go(func() { p.run(ctx) })
	for range senders {
		s.wg.Go(func() { s.runSender(ctx) })
	}
	return nil
}

// Stop ends the service. The configuration in force stays readable.
func (s *Spread) Stop(_ context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Current returns the configuration in force, nil before the first.
func (s *Spread) Current() *wigeonshift.Configuration {
	return s.force.get()
}

// Changed returns a channel that is closed when a newer configuration comes into force.
func (s *Spread) Changed() <-chan struct{} {
	return s.force.changed()
}

// Versions returns what this instance knows of the versions of live instances, itself included.
func (s *Spread) Versions() []wigeonshift.InstanceVersion {
	return s.versions.list(s.members.Live(), s.force.version(), time.Now())
}

// Accept brings a change that this instance has just written into force and pushes it at once.
func (s *Spread) Accept(ch wigeonshift.Change, c *wigeonshift.Configuration) {
	s.offer(event{loaded: c, changes: []wigeonshift.Change{ch}, origin: true})
	select {
	case s.due <- c:
	default:
	}
}

// event is one input of run: a peer's message, or what the platform gave.
type event struct {
	from    wigeonshift.Instance
	message wigeonshift.PeerMessage
	// changes lead to loaded if that is set, and else follow the version in force.
	changes []wigeonshift.Change
	loaded  *wigeonshift.Configuration
	// origin is set for changes that this instance learned from the platform and not from a peer.
	origin bool
}

// receive takes a peer's message. It never blocks.
func (s *Spread) receive(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	switch m.(type) {
	case wigeonshift.ConfigurationPush, wigeonshift.ConfigurationAsk, wigeonshift.ConfigurationSnapshot, wigeonshift.ConfigurationHave:
		s.offer(event{from: from, message: m})
	}
}

// offer puts an event into the inbox. A full inbox loses it; the backstops make up for that.
func (s *Spread) offer(e event) {
	select {
	case s.inbox <- e:
	default:
		s.scope.Counter("configurationInboxFull").Inc(1)
	}
}

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
		case e := <-s.inbox:
			s.handle(e)
		case <-t.C:
			s.tick(time.Now())
		}
	}
}

// rebuildTree follows the members.
func (s *Spread) rebuildTree() {
	live := s.members.Live()
	s.tree.Store(newTree(s.network.Self(), live, s.settings))
	s.versions.retain(live)
}

// jitter spreads a period by a quarter to both sides.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
