package wigeonscheduler

import (
	"math/rand/v2"
	"strconv"
	"time"

	"wigeonshift"
)

// Shard is the state of one shard at its owner.
type Shard struct {
	id       wigeonshift.ShardID
	settings Settings

	epoch uint64
	// leaseHeld allows fenced orders; grants go on without it.
	leaseHeld bool
	draining  bool
	// rebuildUntil is the end of the time after a takeover in which endpoints count as full.
	rebuildUntil time.Time

	version uint64
	product *wigeonshift.Product
	// endpoints and ordered hold the same values; ordered is sorted by name.
	endpoints map[string]*endpoint
	ordered   []*endpoint

	// jobs holds every request that is queued or has a permit.
	jobs          map[wigeonshift.RequestID]*job
	closed        closedRing
	tiers         []*tier
	organisations map[string]*organisation
	prefixes      prefixIndex
	suspects      suspects
	retries       retryBudget
	answers       answerLengths
	demand        []modelDemand
	// peers are the other shards of the pool.
	peers []peerShard
	// aloneJob is the suspect request that runs or waits to run alone.
	aloneJob *job

	// sequence numbers the permits of this owner's epoch.
	sequence uint64
	now      time.Time
	// random is seeded by each event.
	random rand.PCG
	wakeAt time.Time
	// summaryAt, shiftAt and housekeepAt time the periodic work.
	summaryAt, shiftAt, housekeepAt time.Time
	// lengths is scratch for cached prefix lengths by endpoint index.
	lengths []int
	out     []Effect
}

// NewShard returns an owner's empty state for a shard. Nothing is granted before LeaseAcquired and
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
	s.suspects.init()
	return s
}

// reduceShard applies one event to a shard.
func reduceShard(s *Shard, ev Event) []Effect {
	if ev.At.After(s.now) {
		s.now = ev.At
	}
	s.random.Seed(ev.Random, uint64(ev.At.UnixNano()))
	s.out = nil
	s.apply(ev.Body)
	s.dispatch()
	s.scheduleWake()
	out := s.out
	s.out = nil
	return out
}

// apply changes the state for one event; dispatching follows.
func (s *Shard) apply(body Body) {
	switch b := body.(type) {
	case PermitRequested:
		s.permitRequested(b)
	case PermitCancelled:
		s.permitCancelled(b)
	case AttemptReported:
		s.attemptReported(b)
	case EntryReported:
		s.entryReported(b)
	case EntryLost:
		s.entryLost(b)
	case LoadReported:
		s.loadReported(b)
	case CacheReported:
		s.cacheReported(b)
	case ProbeAnswered:
		s.probeAnswered(b)
	case ConfigurationChanged:
		s.configurationChanged(b)
	case LeaseAcquired:
		s.leaseAcquired(b)
	case LeaseLapsed:
		s.leaseHeld = false
	case DrainStarted:
		s.drainStarted()
	case QuarantineLoaded:
		s.quarantineLoaded(b)
	case SummaryReceived:
		s.summaryReceived(b)
	case WeightSlotAnswered:
		s.weightSlotAnswered(b)
	case OrderAnswered:
		s.orderAnswered(b)
	case Ticked:
		s.ticked()
	}
}

// emit adds an effect.
func (s *Shard) emit(e Effect) {
	s.out = append(s.out, e)
}

// count adds one to a counter.
func (s *Shard) count(name, label string) {
	s.emit(Count{Name: name, Label: label, Delta: 1})
}

// jitter returns a factor between 1 and 2.
func (s *Shard) jitter() float64 {
	return 1 + rand.New(&s.random).Float64()
}

// nextToken returns a fresh attempt token.
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

// scheduleWake asks for a tick while anything waits on time alone.
func (s *Shard) scheduleWake() {
	if len(s.jobs) == 0 && !s.probesPending() {
		return
	}
	if !s.wakeAt.IsZero() && s.wakeAt.After(s.now) {
		return
	}
	s.wakeAt = s.now.Add(s.settings.TickInterval)
	s.emit(WakeAt{At: s.wakeAt})
}
