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
	m       *Manager
	id      wigeonshift.ShardID
	keeper  *wigeonlease.Elector
	mailbox *mailbox
	notices chan wigeonlease.Event
	cancel  context.CancelFunc
	ctx     context.Context //nolint:containedctx // The shard's own life.
	tasks   conc.WaitGroup
	// slots bounds the calls of endpoints that effects started.
	slots   chan struct{}
	pollers pollers

	mu sync.Mutex
	// state is nil while another instance owns the shard.
	state *wigeonscheduler.State
	epoch uint64
	// predecessor handed the shard to this instance; it waits to hear that the shard is served.
	predecessor wigeonshift.Instance
	// successor has taken the shard over from this instance.
	successor chan wigeonshift.OwnerNotice
	// witnesses takes the ids of instances that name this one as the owner.
	witnesses chan string
	// handingOver is the epoch of a hand-over that waits for its successor, 0 for none.
	handingOver uint64
	entries     map[string]wigeonshift.Instance
	// seekers are told when this instance becomes the owner.
	seekers seekers
	// firstID names the first candidate while that is another instance, and moveAt is when the shard goes to it.
	firstID string
	moveAt  time.Time
	// waiting holds the requests that were asked for and not answered, with their entries.
	waiting       map[wigeonshift.RequestID]string
	configuration *wigeonshift.Configuration
	lastAt        time.Time
	wakeAt        time.Time
	rebuildUntil  time.Time
}

// maxTasks bounds the calls of endpoints that one shard's effects have open at once.
const maxTasks = 64

func newShard(m *Manager, id wigeonshift.ShardID) *shard {
	s := &shard{
		m: m, id: id, mailbox: newMailbox(),
		notices:   make(chan wigeonlease.Event, 16),
		slots:     make(chan struct{}, maxTasks),
		successor: make(chan wigeonshift.OwnerNotice, 1),
		witnesses: make(chan string, successorCandidates),
		seekers:   seekers{},
	}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	s.keeper = wigeonlease.NewElector(id, m.network.Self(), m.store, s.leaseChanged,
		wigeonlease.WithScope(m.scope), wigeonlease.WithLogger(m.log))
	return s
}

// run applies events until the shard is left.
func (s *shard) run() {
	defer s.tasks.Wait()
	defer s.cancel()
	s.tasks.Go(s.runKeeper)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			s.abdicate(wigeonshift.Instance{}, 0)
			return
		case n := <-s.notices:
			s.leaseNoticed(n)
		case <-s.mailbox.ready:
			for _, body := range s.mailbox.takeAll() {
				s.apply(body)
			}
		case <-timer.C:
			s.apply(wigeonscheduler.Ticked{})
		}
		timer.Reset(s.untilWake())
	}
}

// runKeeper bids for and renews the lease.
func (s *shard) runKeeper() {
	s.keeper.Run(s.ctx)
}

// untilWake returns the time to the next tick.
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

// post puts an event into the mailbox.
func (s *shard) post(body wigeonscheduler.Body) {
	if !s.mailbox.put(body) {
		s.m.counters.add("ownerEventsDropped", "", 1)
	}
}

// apply passes one event through the reducer and carries out the effects.
func (s *shard) apply(body wigeonscheduler.Body) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Before(s.lastAt) {
		now = s.lastAt
	}
	s.lastAt = now
	if !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		s.wakeAt = time.Time{}
	}
	effects := wigeonscheduler.Reduce(s.state, wigeonscheduler.Event{At: now, Random: rand.Uint64(), Body: body})
	s.mu.Unlock()
	for _, e := range effects {
		s.carryOut(e)
	}
}

// isOwner tells whether requests are to be decided here.
func (s *shard) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil
}

// status returns the shard's state for operators.
func (s *shard) status() wigeonshift.ShardStatus {
	_, held := s.keeper.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return wigeonshift.ShardStatus{Shard: s.id}
	}
	st := s.state.Shard.Status()
	st.LeaseHeld = held
	return st
}

// notice returns the announcement of this owner.
func (s *shard) notice() wigeonshift.OwnerNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wigeonshift.OwnerNotice{Shard: s.id, Epoch: s.epoch, Owner: s.m.network.Self()}
}

// asked takes in a request for a permit.
func (s *shard) asked(from wigeonshift.Instance, r wigeonshift.PermitRequest) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		s.m.send(from, wigeonshift.NotOwner{Shard: s.id, Request: r.ID, Owner: s.m.locate(s.id)})
		return
	}
	s.entries[from.ID] = from
	s.waiting[r.ID] = from.ID
	s.mu.Unlock()
	s.post(wigeonscheduler.PermitRequested{Entry: from.ID, Request: r})
}

// entryReported takes in the attempts of an entry and confirms the ownership to it.
func (s *shard) entryReported(from wigeonshift.Instance, n wigeonshift.RunningNotice) {
	s.mu.Lock()
	if s.state != nil {
		s.entries[from.ID] = from
	}
	s.mu.Unlock()
	s.post(wigeonscheduler.EntryReported{Entry: from.ID, Attempts: n.Attempts})
	if notice := s.notice(); n.Epoch < notice.Epoch {
		s.m.send(from, notice)
	}
}

// entryGone drops an entry with all its requests.
func (s *shard) entryGone(id string) {
	s.mu.Lock()
	_, known := s.entries[id]
	delete(s.entries, id)
	for r, entry := range s.waiting {
		if entry == id {
			delete(s.waiting, r)
		}
	}
	s.mu.Unlock()
	if known {
		s.m.counters.add("ownerEntriesLost", "", 1)
		s.post(wigeonscheduler.EntryLost{Entry: id})
	}
}

// configure brings the shard's endpoints and the product's limits up to a configuration.
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

// configurationEvent returns the reducer's event for a configuration.
func configurationEvent(id wigeonshift.ShardID, c *wigeonshift.Configuration) wigeonscheduler.ConfigurationChanged {
	pool, _, _ := id.Pool()
	product := c.Products[pool.Product]
	return wigeonscheduler.ConfigurationChanged{
		Version: c.Version, Endpoints: c.ShardEndpoints(id), Product: &product,
	}
}
