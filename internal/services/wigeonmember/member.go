// Package wigeonmember keeps an instance's view of the others: the platform's lagging list, corrected by the
// evidence of its own sessions.
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

// The list is read every 2 s by small fleets. A fleet spends at most 100 reads/s on it, of about 2,000 that the
// platform serves: 15 s with 1,500 instances.
const (
	minPollPeriod   = 2 * time.Second
	pollPerInstance = 10 * time.Millisecond
	// pollSpread is the part of a period by which each poll is spread at random.
	pollSpread  = 0.25
	pollTimeout = 2 * time.Second
)

const (
	// spokeFor is how long a message vouches for an instance that the list does not name.
	spokeFor = 30 * time.Second
	// suspectFor is how long an instance that could not be dialled is no candidate.
	suspectFor = 15 * time.Second
	// leftFor is how long an instance that told that it is leaving is remembered while the list doesn't name it: the
	// list may still come to name it.
	leftFor = 10 * time.Minute
	// recheckPeriod bounds how late the end of either is noticed.
	recheckPeriod = time.Second
)

// evidence is what this instance learned about another one from its own sessions.
type evidence struct {
	instance wigeonshift.Instance
	spokeAt  time.Time
	failedAt time.Time
	// leftAt is when the instance told that it is leaving, zero before.
	leftAt time.Time
}

// Members implements wigeonshift.Membership.
type Members struct {
	list    wigeonshift.InstanceList
	network *wigeonsession.Network
	scope   tally.Scope
	log     logrus.FieldLogger

	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	listed   []wigeonshift.Instance
	evidence map[string]*evidence
	self     wigeonshift.Instance
	live     []wigeonshift.Instance
	changed  chan struct{}
}

// Option changes a setting of Members.
type Option func(*Members)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(m *Members) { m.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(m *Members) { m.log = l }
}

// New returns the view of an instance. It must be called before the network starts.
func New(list wigeonshift.InstanceList, network *wigeonsession.Network, opts ...Option) *Members {
	m := &Members{
		list: list, network: network, scope: tally.NoopScope, log: logrus.StandardLogger(),
		evidence: map[string]*evidence{}, self: network.Self(), changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.live = []wigeonshift.Instance{m.self}
	network.Subscribe(m.heard)
	network.SubscribeLost(network.Probe)
	network.SubscribeUnreachable(m.failed)
	network.SubscribeLeaving(m.left)
	return m
}

// Start reads the list once and keeps polling it. A failed first read is no error.
func (m *Members) Start(ctx context.Context) error {
	m.poll(ctx)
	ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(func() { m.run(ctx) })
	return nil
}

// Stop ends the polling.
func (m *Members) Stop(_ context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.wg.Wait()
	return nil
}

// SetLeaving takes this instance out of its own view, so that it no longer bids for leases, and tells its peers.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = wigeonshift.InstanceLeaving
	m.recompute()
	m.network.SetLeaving()
}

// Live returns the instances fit to hold leases, ordered by id.
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

// run polls the list until the context ends.
func (m *Members) run(ctx context.Context) {
	poll := time.NewTimer(m.pollPeriod())
	defer poll.Stop()
	recheck := time.NewTicker(recheckPeriod)
	defer recheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
			m.poll(ctx)
			poll.Reset(m.pollPeriod())
		case <-recheck.C:
			m.mu.Lock()
			m.recompute()
			m.mu.Unlock()
		}
	}
}

// pollPeriod returns the jittered time to the next poll.
func (m *Members) pollPeriod() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := max(minPollPeriod, time.Duration(len(m.listed))*pollPerInstance)
	return time.Duration(float64(period) * (1 - pollSpread + 2*pollSpread*rand.Float64()))
}

// poll reads the list; without an answer the former one stays.
func (m *Members) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	listed, err := m.list.Instances(ctx)
	if err != nil {
		m.scope.Counter("memberPollsFailed").Inc(1)
		m.log.WithError(err).Debug("Instance list can't be read")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
	m.recompute()
}

// heard notes that an instance spoke.
func (m *Members) heard(from wigeonshift.Instance, _ wigeonshift.PeerMessage) {
	if from.ID == m.self.ID {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.evidenceOf(from)
	// A message that confirms the view must stay cheap: owners hear from hundreds of instances.
	confirms := e.failedAt.IsZero() && e.instance == from && (now.Sub(e.spokeAt) < recheckPeriod || m.isLive(from.ID))
	e.instance, e.spokeAt, e.failedAt = from, now, time.Time{}
	if !confirms {
		m.recompute()
	}
}

// isLive tells whether the view holds an instance; the caller holds the lock.
func (m *Members) isLive(id string) bool {
	_, found := slices.BinarySearchFunc(m.live, id, func(i wigeonshift.Instance, id string) int { return cmp.Compare(i.ID, id) })
	return found
}

// failed notes that an instance could not be dialled.
func (m *Members) failed(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidenceOf(i).failedAt = time.Now()
	m.recompute()
}

// left notes that an instance told that it is leaving. An instance never comes back from that.
func (m *Members) left(i wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidenceOf(i).leftAt = time.Now()
	m.recompute()
}

// evidenceOf returns the evidence on an instance; the caller holds the lock.
func (m *Members) evidenceOf(i wigeonshift.Instance) *evidence {
	e := m.evidence[i.ID]
	if e == nil {
		e = &evidence{instance: i}
		m.evidence[i.ID] = e
	}
	return e
}

// recompute brings the view up to the list and the evidence; the caller holds the lock.
func (m *Members) recompute() {
	now := time.Now()
	view := map[string]wigeonshift.Instance{}
	for _, i := range m.listed {
		view[i.ID] = i
	}
	for id, e := range m.evidence {
		m.apply(view, id, e, now)
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

// apply corrects the view by the evidence on one instance and forgets evidence that has expired.
func (m *Members) apply(view map[string]wigeonshift.Instance, id string, e *evidence, now time.Time) {
	failed := !e.failedAt.IsZero() && now.Sub(e.failedAt) < suspectFor
	spoke := !e.spokeAt.IsZero() && now.Sub(e.spokeAt) < spokeFor
	listed, ok := view[id]
	switch {
	case failed:
		delete(view, id)
	case !e.leftAt.IsZero() && ok:
		listed.State = wigeonshift.InstanceLeaving
		view[id] = listed
	case !e.leftAt.IsZero() && now.Sub(e.leftAt) < leftFor:
	case spoke && !ok:
		view[id] = e.instance
	case !spoke:
		delete(m.evidence, id)
	}
}
