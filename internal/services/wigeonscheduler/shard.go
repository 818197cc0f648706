package wigeonscheduler

import (
	"math/rand/v2"
	"strconv"
	"time"

	"wigeonshift"
)

// Shard is the owner's state of one shard.
type Shard struct {
	id       wigeonshift.ShardID
	settings Settings

	epoch uint64
	// leaseHeld allows fenced orders. Grants continue without it.
	leaseHeld bool
	draining  bool
	// rebuildUntil is the time before which nothing is granted after a takeover, so that entries can report their
	// attempts.
	rebuildUntil time.Time

	configurationVersion uint64
	product              *wigeonshift.Product
	// endpoints and sortedEndpoints hold the same values; sortedEndpoints is sorted by name.
	endpoints       map[string]*endpoint
	sortedEndpoints []*endpoint

	// jobs holds every request that is queued or has a permit.
	jobs          map[wigeonshift.RequestID]*job
	closed        closedRequests
	tiers         []*tier
	organisations map[string]*organisation
	prefixes      prefixIndex
	suspects      suspects
	retries       retryBudget
	answerLengths answerLengths
	demand        []modelDemand
	// peers are the other shards of the pool.
	peers []peerShard
	// aloneJob is the suspect job that runs, or waits to run, with no other job on its endpoint.
	aloneJob *job

	// sequence numbers the permits and orders of this owner's epoch.
	sequence uint64
	now      time.Time
	// random is seeded anew by each event.
	random rand.PCG
	wakeAt time.Time
	// lastSummaryAt, lastRebalanceAt and nextCleanupAt schedule the periodic work.
	lastSummaryAt, lastRebalanceAt, nextCleanupAt time.Time
	// prefixLengths is scratch space: the cached prefix lengths in tokens by endpoint index for the job last looked up.
	prefixLengths []int
	effects       []Effect
}

// NewShard returns the empty state of a shard at a new owner. Nothing is granted before LeaseAcquired and
// ConfigurationChanged.
func NewShard(id wigeonshift.ShardID, opts ...Option) *Shard {
	s := &Shard{
		id:            id,
		settings:      defaultSettings(),
		endpoints:     map[string]*endpoint{},
		jobs:          map[wigeonshift.RequestID]*job{},
		organisations: map[string]*organisation{},
	}
	for _, o := range opts {
		o(&s.settings)
	}
	s.closed.init(s.settings.ClosedRequests)
	s.suspects = newSuspects()
	return s
}

// reduceShard applies one event to a shard and grants what queued jobs it can. Time and random numbers come from the
// event, so that the same events give the same effects.
func reduceShard(s *Shard, ev Event) []Effect {
	if ev.At.After(s.now) {
		s.now = ev.At
	}
	s.random.Seed(ev.Random, uint64(ev.At.UnixNano()))
	s.effects = nil
	s.handleEvent(ev.Body)
	s.dispatch()
	s.scheduleWake()
	out := s.effects
	s.effects = nil
	return out
}

// handleEvent changes the state for one event. The caller dispatches queued jobs afterwards.
func (s *Shard) handleEvent(body EventBody) {
	switch b := body.(type) {
	case PermitRequested:
		s.handlePermitRequested(b)
	case PermitCancelled:
		s.handlePermitCancelled(b)
	case AttemptReported:
		s.handleAttemptReported(b)
	case EntryReported:
		s.handleEntryReported(b)
	case EntryLost:
		s.handleEntryLost(b)
	case LoadReported:
		s.handleLoadReported(b)
	case CacheReported:
		s.handleCacheReported(b)
	case ProbeAnswered:
		s.handleProbeAnswered(b)
	case ConfigurationChanged:
		s.handleConfigurationChanged(b)
	case LeaseAcquired:
		s.handleLeaseAcquired(b)
	case LeaseExpired:
		s.leaseHeld = false
	case DrainStarted:
		s.handleDrainStarted()
	case QuarantineLoaded:
		s.handleQuarantineLoaded(b)
	case SummaryReceived:
		s.handleSummaryReceived(b)
	case WeightSlotAnswered:
		s.handleWeightSlotAnswered(b)
	case OrderAnswered:
		s.handleOrderAnswered(b)
	case Tick:
		s.handleTick()
	}
}

// emit adds an effect to the result of the current event.
func (s *Shard) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// count adds one to a counter.
func (s *Shard) count(name, label string) {
	s.emit(Count{Name: name, Label: label, Delta: 1})
}

// jitter returns a random factor between 1 and 2.
func (s *Shard) jitter() float64 {
	return 1 + rand.New(&s.random).Float64()
}

// nextToken returns a new attempt token. It contains the shard, the lease epoch and a number, so that no other attempt
// has the same one, not even under another owner.
func (s *Shard) nextToken() wigeonshift.AttemptToken {
	s.sequence++
	b := make([]byte, 0, len(s.id)+24)
	b = append(b, s.id...)
	b = append(b, '#')
	b = strconv.AppendUint(b, s.epoch, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, s.sequence, 10)
	return wigeonshift.AttemptToken(b)
}

// scheduleWake asks for a tick while any job exists or an endpoint is to be probed, because timeouts and probes come
// due without any other event.
func (s *Shard) scheduleWake() {
	if len(s.jobs) == 0 && !s.anyEndpointDown() {
		return
	}
	if !s.wakeAt.IsZero() && s.wakeAt.After(s.now) {
		return
	}
	s.wakeAt = s.now.Add(s.settings.TickInterval)
	s.emit(WakeAt{At: s.wakeAt})
}
