// Package wigeonmember maintains an instance's view of the live instances: the platform's list, which may be outdated,
// corrected by what the instance observes on its own sessions.
package wigeonmember

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Polling of the instance list. Small fleets poll every 2 s. In larger fleets the period grows with the number of
// instances (15 s for 1,500), so that a fleet makes at most 100 reads/s of the about 2,000 that the platform serves.
const (
	minPollPeriod         = 2 * time.Second
	pollPeriodPerInstance = 10 * time.Millisecond
	// pollJitterRatio is the largest fraction of the period by which a poll is randomly early or late.
	pollJitterRatio = 0.25
	pollTimeout     = 2 * time.Second
)

const (
	// messageTTL is how long an instance that is not on the list counts as live after a message from it.
	messageTTL = 30 * time.Second
	// dialFailureTTL is how long an instance is excluded from the view after a failed dial.
	dialFailureTTL = 15 * time.Second
	// leavingTTL is how long the leaving notice of an instance that is not on the list is kept, because the list may
	// still add the instance.
	leavingTTL = 10 * time.Minute
	// expiryCheckPeriod limits how long an observation affects the view after it has expired.
	expiryCheckPeriod = time.Second
)

// observation is what this instance observed about another one on its own sessions.
type observation struct {
	instance      wigeonshift.Instance
	lastMessageAt time.Time
	dialFailedAt  time.Time
	// leavingSince is when the instance announced that it is leaving; zero if it hasn't.
	leavingSince time.Time
}

// Members implements wigeonshift.Membership.
type Members struct {
	list    wigeonshift.InstanceList
	network *wigeonsession.Network
	scope   tally.Scope
	log     logrus.FieldLogger

	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu           sync.Mutex
	listed       []wigeonshift.Instance
	observations map[string]*observation
	self         wigeonshift.Instance
	live         []wigeonshift.Instance
	changed      chan struct{}
}

// Option configures Members.
type Option func(*Members)

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(m *Members) { m.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(m *Members) { m.log = l }
}

// New returns the membership view of the network's own instance. It must be called before the network starts.
func New(list wigeonshift.InstanceList, network *wigeonsession.Network, opts ...Option) *Members {
	m := &Members{
		list: list, network: network, scope: tally.NoopScope, log: logrus.StandardLogger(),
		observations: map[string]*observation{}, self: network.Self(), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.live = []wigeonshift.Instance{m.self}
	network.Subscribe(m.handleMessage)
	network.SubscribePeerLost(network.Probe)
	network.SubscribeUnreachable(m.handleDialFailure)
	network.SubscribeLeaving(m.handleLeaving)
	return m
}

// Start reads the list once and then polls it in the background. A failed first read is not an error.
func (m *Members) Start(ctx context.Context) error {
	m.poll(ctx)
	ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(func() { m.run(ctx) })
	return nil
}

// Stop stops the polling.
func (m *Members) Stop(_ context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.wg.Wait()
	return nil
}

// SetLeaving removes this instance from its own view, so that it no longer competes for leases, and announces to its
// peers that it is leaving.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = wigeonshift.InstanceLeaving
	m.recomputeView()
	m.network.SetLeaving()
}

// Live returns the instances that may hold leases, ordered by ID.
func (m *Members) Live() []wigeonshift.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// Changed returns a channel that is closed when the view changes.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// run polls the list and removes expired observations until the context ends.
func (m *Members) run(ctx context.Context) {
	poll := time.NewTimer(m.pollPeriod())
	defer poll.Stop()
	expiryCheck := time.NewTicker(expiryCheckPeriod)
	defer expiryCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
			m.poll(ctx)
			poll.Reset(m.pollPeriod())
		case <-expiryCheck.C:
			m.mu.Lock()
			m.recomputeView()
			m.mu.Unlock()
		}
	}
}

// pollPeriod returns the time until the next poll, with jitter.
func (m *Members) pollPeriod() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := max(minPollPeriod, time.Duration(len(m.listed))*pollPeriodPerInstance)
	return time.Duration(float64(period) * (1 - pollJitterRatio + 2*pollJitterRatio*rand.Float64()))
}

// poll reads the list. If the read fails, the previous list is kept.
func (m *Members) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	listed, err := m.list.Instances(ctx)
	if err != nil {
		m.scope.Counter("memberPollsFailed").Inc(1)
		m.log.WithError(err).Debug("failed to read instance list")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
	m.recomputeView()
}

// handleMessage records that an instance sent a message.
func (m *Members) handleMessage(from wigeonshift.Instance, _ wigeonshift.PeerMessage) {
	if from.ID == m.self.ID {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.observationOf(from)
	// A message that doesn't change the view must be cheap because shard owners get messages from hundreds of instances.
	viewUnchanged := o.dialFailedAt.IsZero() && o.instance == from && (now.Sub(o.lastMessageAt) < expiryCheckPeriod || m.isLive(from.ID))
	o.instance, o.lastMessageAt, o.dialFailedAt = from, now, time.Time{}
	if !viewUnchanged {
		m.recomputeView()
	}
}

// isLive reports whether an instance is in the view. The caller holds the lock.
func (m *Members) isLive(id string) bool {
	_, found := slices.BinarySearchFunc(m.live, id, func(i wigeonshift.Instance, id string) int { return cmp.Compare(i.ID, id) })
	return found
}

// handleDialFailure records that an instance could not be dialled.
func (m *Members) handleDialFailure(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observationOf(i).dialFailedAt = time.Now()
	m.recomputeView()
}

// handleLeaving records that an instance announced that it is leaving. It never becomes live again.
func (m *Members) handleLeaving(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observationOf(i).leavingSince = time.Now()
	m.recomputeView()
}

// observationOf returns the observation of an instance and creates it if there is none. The caller holds the lock.
func (m *Members) observationOf(i wigeonshift.Instance) *observation {
	o := m.observations[i.ID]
	if o == nil {
		o = &observation{instance: i}
		m.observations[i.ID] = o
	}
	return o
}

// recomputeView rebuilds the view from the list and the observations. If it differs from the current view, it replaces
// that and closes the channel that Changed returned. The caller holds the lock.
func (m *Members) recomputeView() {
	now := time.Now()
	view := map[string]wigeonshift.Instance{}
	for _, i := range m.listed {
		view[i.ID] = i
	}
	for id, o := range m.observations {
		m.applyObservation(view, id, o, now)
	}
	view[m.self.ID] = m.self
	live := make([]wigeonshift.Instance, 0, len(view))
	for _, i := range view {
		if i.State != wigeonshift.InstanceLeaving {
			live = append(live, i)
		}
	}
	slices.SortFunc(live, func(a, b wigeonshift.Instance) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	m.scope.Gauge("membersLive").Update(float64(len(live)))
	close(m.changed)
	m.changed = make(chan struct{})
}

// applyObservation corrects the view by the observation of one instance, and deletes the observation if it has expired.
func (m *Members) applyObservation(view map[string]wigeonshift.Instance, id string, o *observation, now time.Time) {
	dialFailed := !o.dialFailedAt.IsZero() && now.Sub(o.dialFailedAt) < dialFailureTTL
	messageReceived := !o.lastMessageAt.IsZero() && now.Sub(o.lastMessageAt) < messageTTL
	listed, ok := view[id]
	switch {
	case dialFailed:
		delete(view, id)
	case !o.leavingSince.IsZero() && ok:
		listed.State = wigeonshift.InstanceLeaving
		view[id] = listed
	case !o.leavingSince.IsZero() && now.Sub(o.leavingSince) < leavingTTL:
	case messageReceived && !ok:
		view[id] = o.instance
	case !messageReceived:
		delete(m.observations, id)
	}
}
