package wigeonowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sourcegraph/conc"
)

// shard is one shard that this instance watches or owns.
type shard struct {
	manager     *Manager
	id          wigeonshift.ShardID
	elector     *wigeonlease.Elector
	mailbox     *mailbox
	leaseEvents chan wigeonlease.Event
	cancel      context.CancelFunc
	ctx         context.Context //nolint:containedctx // Ends when the shard is removed.
	tasks       conc.WaitGroup
	// taskSlots limits the number of running tasks.
	taskSlots chan struct{}
	polling   pollControl

	mu sync.Mutex
	// state is nil while this instance doesn't own the shard.
	state *wigeonscheduler.State
	epoch uint64
	// predecessor is the instance that handed the shard over to this one. It waits for the announcement that the shard is
	// served.
	predecessor wigeonshift.Instance
	// successorNotices receives the announcement of the new owner during a handover.
	successorNotices chan wigeonshift.OwnerNotice
	// ownerConfirmations receives the ids of instances that name this one as the owner.
	ownerConfirmations chan string
	// handoverEpoch is the successor's epoch during a handover, otherwise 0.
	handoverEpoch uint64
	// entries holds, by id, the entry instances that use the shard. An entry instance receives the callers' requests.
	entries map[string]wigeonshift.Instance
	// redirects are the instances to notify when this instance becomes the owner.
	redirects redirects
	// firstCandidateID is the id of the first candidate while that is another instance, otherwise empty. The shard moves
	// to that instance at moveAt.
	firstCandidateID string
	moveAt           time.Time
	// pendingRequests maps the unanswered permit requests to the ids of their entries.
	pendingRequests map[wigeonshift.RequestID]string
	configuration   *wigeonshift.Configuration
	// lastEventAt is the time of the last event. Event times never decrease.
	lastEventAt time.Time
	// wakeAt is the time of the tick that the reducer has requested, or zero.
	wakeAt time.Time
	// rebuildUntil is the time until which a new owner waits for the entries' reports.
	rebuildUntil time.Time
}

// maxTasks limits the tasks that one shard runs at the same time.
const maxTasks = 64

func newShard(m *Manager, id wigeonshift.ShardID) *shard {
	s := &shard{
		manager: m, id: id, mailbox: newMailbox(),
		leaseEvents:        make(chan wigeonlease.Event, 16),
		taskSlots:          make(chan struct{}, maxTasks),
		successorNotices:   make(chan wigeonshift.OwnerNotice, 1),
		ownerConfirmations: make(chan string, successorCandidateCount),
		redirects:          redirects{},
	}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	s.elector = wigeonlease.NewElector(id, m.network.Self(), m.leases, s.sendLeaseEvent,
		wigeonlease.WithScope(m.scope), wigeonlease.WithLogger(m.log))
	return s
}

// run handles lease events, queued events and ticks until the shard is removed.
func (s *shard) run() {
	defer s.tasks.Wait()
	defer s.cancel()
	s.tasks.Go(s.runElector)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			s.stopServing(wigeonshift.Instance{}, 0)
			return
		case e := <-s.leaseEvents:
			s.handleLeaseEvent(e)
		case <-s.mailbox.ready:
			for _, body := range s.mailbox.takeAll() {
				s.apply(body)
			}
		case <-timer.C:
			s.apply(wigeonscheduler.Tick{})
		}
		timer.Reset(s.untilWake())
	}
}

func (s *shard) runElector() {
	s.elector.Run(s.ctx)
}

// untilWake returns the delay until the next tick.
func (s *shard) untilWake() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	at := s.wakeAt
	if s.rebuildUntil.After(now) && (at.IsZero() || s.rebuildUntil.Before(at)) {
		at = s.rebuildUntil
	}
	if at.IsZero() || s.state == nil {
		return time.Hour
	}
	return max(0, at.Sub(now))
}

// post queues an event for the shard's loop. If the mailbox is full, the event is dropped and counted.
func (s *shard) post(body wigeonscheduler.EventBody) {
	if !s.mailbox.put(body) {
		s.manager.counters.add("ownerEventsDropped", "", 1)
	}
}

// apply passes one event to the reducer and executes the resulting effects. It ignores the event if this instance
// doesn't own the shard.
func (s *shard) apply(body wigeonscheduler.EventBody) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Before(s.lastEventAt) {
		now = s.lastEventAt
	}
	s.lastEventAt = now
	if !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		s.wakeAt = time.Time{}
	}
	effects := wigeonscheduler.Reduce(s.state, wigeonscheduler.Event{At: now, Random: rand.Uint64(), Body: body})
	s.mu.Unlock()
	for _, e := range effects {
		s.executeEffect(e)
	}
}

// isOwner reports whether this instance serves the shard. This can be true after the lease has expired.
func (s *shard) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil
}

// status returns the shard's status for operators.
func (s *shard) status() wigeonshift.ShardStatus {
	_, held := s.elector.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return wigeonshift.ShardStatus{Shard: s.id}
	}
	st := s.state.Shard.Status()
	st.LeaseHeld = held
	return st
}

// ownerNotice returns the announcement that this instance owns the shard.
func (s *shard) ownerNotice() wigeonshift.OwnerNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wigeonshift.OwnerNotice{Shard: s.id, Epoch: s.epoch, Owner: s.manager.network.Self()}
}

// handlePermitRequest queues a permit request, or redirects the sender if this instance has stopped owning the shard.
func (s *shard) handlePermitRequest(from wigeonshift.Instance, r wigeonshift.PermitRequest) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		s.manager.send(from, wigeonshift.NotOwner{Shard: s.id, Request: r.ID, Owner: s.manager.knownOwner(s.id)})
		return
	}
	s.entries[from.ID] = from
	s.pendingRequests[r.ID] = from.ID
	s.mu.Unlock()
	s.post(wigeonscheduler.PermitRequested{Entry: from.ID, Request: r})
}

// handleRunningNotice queues an entry's report of its running attempts. If the entry knows only an older epoch, it also
// sends the entry an announcement of the owner.
func (s *shard) handleRunningNotice(from wigeonshift.Instance, n wigeonshift.RunningNotice) {
	s.mu.Lock()
	if s.state != nil {
		s.entries[from.ID] = from
	}
	s.mu.Unlock()
	s.post(wigeonscheduler.EntryReported{Entry: from.ID, Attempts: n.Attempts})
	if notice := s.ownerNotice(); n.Epoch < notice.Epoch {
		s.manager.send(from, notice)
	}
}

// removeEntry removes an entry and all its requests.
func (s *shard) removeEntry(id string) {
	s.mu.Lock()
	_, known := s.entries[id]
	delete(s.entries, id)
	for r, entry := range s.pendingRequests {
		if entry == id {
			delete(s.pendingRequests, r)
		}
	}
	s.mu.Unlock()
	if known {
		s.manager.counters.add("ownerEntriesLost", "", 1)
		s.post(wigeonscheduler.EntryLost{Entry: id})
	}
}

// configure sets the configuration and tells the reducer about the shard's endpoints and the product's limits.
func (s *shard) configure(c *wigeonshift.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == c {
		return
	}
	s.configuration = c
	if s.state != nil {
		s.post(configurationEvent(s.id, c))
	}
}

// configurationEvent returns the reducer event for a configuration.
func configurationEvent(id wigeonshift.ShardID, c *wigeonshift.Configuration) wigeonscheduler.ConfigurationChanged {
	pool, _, _ := id.Pool()
	product := c.Products[pool.Product]
	return wigeonscheduler.ConfigurationChanged{
		Version: c.Version, Endpoints: c.ShardEndpoints(id), Product: &product,
	}
}
