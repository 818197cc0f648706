package wigeondispatch

import (
	"maps"
	"sort"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
)

// State is the scheduling state of one instance: endpoints, requests, quotas and the load of the other instances. Its
// methods must not be called concurrently.
type State struct {
	settings     Settings
	now          time.Duration
	pools        map[string]*pool
	endpoints    map[string]*endpoint
	jobs         map[JobID]*Job
	quotas       map[string]*quota
	peers        map[string]*peer
	retryBudgets map[string]*retryBudget
	// crashes holds the crashes that all instances know of.
	crashes *wigeonquarantine.Record
	// losses holds the attempts that this instance lost recently, by incarnation of the endpoint.
	losses map[incarnation]*losses
	// instances is the number of instances including this one, at least 1.
	instances int
	groups    *Groups
	effects   []Effect
}

// New returns the state of an instance without configuration, endpoints and requests.
func New(settings Settings) *State {
	return &State{
		settings:     settings,
		pools:        map[string]*pool{},
		endpoints:    map[string]*endpoint{},
		jobs:         map[JobID]*Job{},
		quotas:       map[string]*quota{},
		peers:        map[string]*peer{},
		retryBudgets: map[string]*retryBudget{},
		crashes:      wigeonquarantine.NewRecord(wigeonquarantine.Limit),
		losses:       map[incarnation]*losses{},
		instances:    1,
		groups:       NewGroups(nil),
	}
}

// Reduce updates the state by an event and returns the effects that the caller must carry out. It does no I/O and
// takes the time from the event, so that its decisions depend only on the events.
func (s *State) Reduce(e Event) []Effect {
	s.effects = nil
	s.advanceClock(e.at())
	switch e := e.(type) {
	case ConfigurationChanged:
		s.applyConfiguration(e.Configuration)
	case EndpointsListed:
		s.replaceEndpoints(e.Records)
	case RequestArrived:
		s.handleArrival(e.Job)
	case FirstEventReceived:
		s.handleFirstEvent(e.Job)
	case AttemptStalled:
		s.handleStall(e.Job)
	case AttemptEnded:
		s.endAttempt(e)
	case EndpointChecked:
		s.handleEndpointChecked(e)
	case CrashesListed:
		s.replaceCrashes(e.Crashes)
	case RequestWithdrawn:
		s.withdrawWaiting(e.Job)
	case PeerReported:
		s.handlePeerReport(e.Peer, e.Load)
	case PeerLost:
		s.handlePeerLost(e.Peer)
	case InstancesListed:
		s.updateGroups(e.Instances)
	case Tick:
		s.handleTick()
	}
	return s.effects
}

// advanceClock moves the clock forward. The clock never goes back, even if events come out of order.
func (s *State) advanceClock(at time.Duration) { s.now = max(s.now, at) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// applyConfiguration applies a new routing configuration. It removes quotas of organisations and mean sizes of routes
// that are no longer configured, and keeps the state of the others, so that what they have used still counts.
func (s *State) applyConfiguration(c *wigeonshift.RoutingConfiguration) {
	organisations, routes := map[string]bool{}, map[string]bool{}
	for i := range c.Organisations {
		organisations[c.Organisations[i].Name] = true
	}
	for i := range c.Routes {
		routes[c.Routes[i].Name] = true
	}
	maps.DeleteFunc(s.quotas, func(name string, _ *quota) bool { return !organisations[name] })
	for _, p := range s.pools {
		maps.DeleteFunc(p.meanSizes, func(route string, _ float64) bool { return !routes[route] })
	}
	for i := range c.Services {
		s.pool(c.Services[i].Name).profile = c.Services[i].Engine
	}
	for _, o := range c.Organisations {
		if q := s.quotas[o.Name]; q != nil {
			q.setLimit(s.settings.limitOf(o), s.now)
		} else {
			s.quotas[o.Name] = newQuota(s.settings.limitOf(o), s.now)
		}
	}
	s.updateQuotaShares()
}

// pool returns the pool of a service (its endpoints and its queued requests) and creates it if needed, because the
// configuration, a list of endpoints or a request may be the first to name the service.
func (s *State) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, meanSizes: map[string]float64{}}
		s.pools[name] = p
	}
	return p
}

// replaceEndpoints replaces the list of endpoints. It keeps the state of those that are still listed, unless they were
// restarted or moved to another service. Then it updates what depends on the list, and dispatches queued requests that
// a new endpoint may accept.
func (s *State) replaceEndpoints(records []wigeonshift.EndpointRecord) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.ID] = true
		e := s.endpoints[r.ID]
		if e != nil && e.record.StartedAtMillis == r.StartedAtMillis && e.record.Service == r.Service {
			e.record = r
			continue
		}
		p := s.pool(r.Service)
		fresh := newEndpoint(r, p)
		if e != nil {
			s.recordRestart(e, r)
			s.removeEndpoint(e)
		}
		s.endpoints[r.ID] = fresh
		p.add(fresh)
	}
	for id, e := range s.endpoints {
		if !listed[id] {
			s.recordRemoval(e)
			s.removeEndpoint(e)
		}
	}
	s.markOtherGroupEndpoints()
	s.recomputePeerLoads()
	s.dispatchAllWaiting()
}

// removeEndpoint removes an endpoint. It also marks the endpoint as leaving, because its running requests refer to it
// until they end and it must get no others meanwhile.
func (s *State) removeEndpoint(e *endpoint) {
	delete(s.endpoints, e.record.ID)
	e.record.Leaving = true
	e.pool.remove(e)
}

// handleArrival dispatches, queues or refuses a new request. It refuses at once if the quota is used up, if there is
// no endpoint, or if the expected wait is longer than the request may be queued, because the request would only be
// refused later.
func (s *State) handleArrival(j *Job) {
	s.jobs[j.ID] = j
	if s.crashes.Quarantined(j.Fingerprint) {
		s.refuseQuarantined(j)
		return
	}
	s.retryBudget(j.Service).countRequest(s.now)
	if !s.chargeQuota(j) {
		return
	}
	p := s.pool(j.Service)
	p.recordCost(j)
	if len(p.endpoints) == 0 {
		s.refuse(j, ReasonNoEndpoint, noEndpointRetryAfter)
		return
	}
	if b := s.backlog(p); s.expectedWait(p, j, b) > s.maxWait(j) {
		s.refuse(j, ReasonOverload, s.retryAfter(p, j, b))
		return
	}
	p.queue.add(j)
	s.dispatchWaiting(p, nil)
}

// chargeQuota charges a request to its organisation's quota. If the quota doesn't allow it, chargeQuota refuses the
// request and returns false. The charge is remembered, so that it can be refunded if the request doesn't run. Requests
// of an organisation without a quota are always allowed.
func (s *State) chargeQuota(j *Job) bool {
	q := s.quotas[j.Organisation]
	if q == nil {
		return true
	}
	if !q.tryConsume(j.Units, s.now) {
		s.refuse(j, ReasonQuota, q.waitFor(j.Units, s.now))
		return false
	}
	j.quotaCharged = true
	return true
}

// backlog counts the requests that are queued for a service, at this instance and at the other instances of the group.
type backlog struct{ own, peers waitingCounts }

// backlog returns the current backlog of a service.
func (s *State) backlog(p *pool) backlog {
	return backlog{own: p.waitingCounts(s.now), peers: s.peerWaiting(p.name)}
}

// expectedWait returns the expected time until a slot is free for a request, given the requests of the same or a
// higher priority that are queued here and at the other instances of the group. A request with too long a wait is
// refused instead of queued.
func (s *State) expectedWait(p *pool, j *Job, b backlog) time.Duration {
	level := p.priorityLevel(j, s.now)
	ahead := b.own.countUpTo(level) + b.peers.countUpTo(level) - p.freeSlots(s.now)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / max(p.throughput(s.now), 1) * float64(time.Second))
}

// shouldShedLate reports whether a request will miss its latency objective and has so many others queued before it
// that its caller should rather retry later. A late request loses priority and would be queued behind most others,
// while the caller's retry gets a higher priority than a late request. A request that may still meet its objective
// isn't shed for this reason.
func (s *State) shouldShedLate(p *pool, j *Job, b backlog) bool {
	if j.LatencyObjective <= 0 || s.now <= j.latestStart(p.typicalFirstEvent(j)) {
		return false
	}
	return s.expectedWait(p, j, b) > maxLateWait
}

// maxWait returns how long a request may be queued: a share of the time until its deadline or, if shorter, of the time
// after which its caller disconnects.
func (s *State) maxWait(j *Job) time.Duration {
	return time.Duration(maxWaitShare * float64(min(j.CallerPatience, j.Deadline-j.Arrived)))
}

// dispatchAllWaiting dispatches the queued requests of all services. It is called when free slots may appear in any
// service. The services are sorted by name, so that the order of the effects doesn't depend on the map.
func (s *State) dispatchAllWaiting() {
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s.dispatchWaiting(s.pools[name], nil)
	}
}

// dispatchWaiting dispatches queued requests of a service in order of priority, and refuses those that have been
// queued for too long or that should rather be retried later. It never refuses a request that failed over (moved from
// an endpoint that may have run it), because a refusal says that the request did not run. freedEndpoint is the
// endpoint on which a request of this instance has just ended, or nil.
func (s *State) dispatchWaiting(p *pool, freedEndpoint *endpoint) {
	if len(p.queue.jobs) == 0 {
		return
	}
	jobsByPriority, own := p.jobsByPriority(s.now)
	round := placementRound{freedEndpoint: freedEndpoint, backlog: backlog{own: own, peers: s.peerWaiting(p.name)}}
	for _, j := range jobsByPriority {
		if s.crashes.Quarantined(j.Fingerprint) {
			s.dequeue(p, j, &round)
			s.refuseQuarantined(j)
			continue
		}
		if !j.failedOver && (s.now-j.Arrived > s.maxWait(j) || s.shouldShedLate(p, j, round.backlog)) {
			s.dequeue(p, j, &round)
			s.refuse(j, ReasonDeadline, s.retryAfter(p, j, round.backlog))
			continue
		}
		e := s.chooseEndpoint(p, j, round)
		if e == nil {
			round.skippedJob = true
			continue
		}
		s.dequeue(p, j, &round)
		s.dispatch(e, j)
	}
}

// dequeue removes a request from the queue and from the backlog of the round.
func (s *State) dequeue(p *pool, j *Job, round *placementRound) {
	p.queue.remove(j)
	round.own[p.priorityLevel(j, s.now)]--
}

// dispatch sends a request to an endpoint. A request that can't be sent to another endpoint gets no stall timeout (the
// time after which a silent endpoint is reported), because nothing could be done about its silence.
func (s *State) dispatch(e *endpoint, j *Job) {
	running := e.running()
	stall := s.stallTimeout(e, j)
	e.startAttempt(j)
	j.assignedEndpoint, j.dispatchedAt, j.firstEventLatency = e, s.now, 0
	j.attempts++
	if !j.canFailOver() {
		stall = 0
	}
	s.emit(Dispatch{
		StallTimeout: stall,
		Job:          j.ID,
		EndpointID:   e.record.ID,
		Address:      e.record.Address,
		Attempt:      j.attempts,
		Timeout:      j.Deadline - s.now,
		Running:      running,
		QueueTime:    s.now - j.Arrived,
	})
}

// handleFirstEvent records the first event of an attempt. It updates the endpoint's timings only if the endpoint runs
// no more requests than it has slots, because the time to the event may otherwise include a wait in the endpoint's own
// queue.
func (s *State) handleFirstEvent(id JobID) {
	j := s.jobs[id]
	if j == nil || j.assignedEndpoint == nil || j.firstEventLatency > 0 {
		return
	}
	j.firstEventLatency = max(s.now-j.dispatchedAt, 1)
	j.answerStarted = true
	e := j.assignedEndpoint
	e.answerStarted(j)
	if e.running() <= e.slots() {
		e.recordFirstEvent(j, j.firstEventLatency)
	}
}

// withdrawWaiting removes a queued request whose caller has disconnected or whose deadline has passed. It ignores running
// requests, because the end of their attempt is reported by an AttemptEnded event.
func (s *State) withdrawWaiting(id JobID) {
	j := s.jobs[id]
	if j == nil || j.assignedEndpoint != nil {
		return
	}
	p := s.pool(j.Service)
	if p.queue.remove(j) {
		s.refund(j)
	}
	delete(s.jobs, id)
}

// refuse answers a request that did not run and refunds its quota. It reports the queue, the free slots and the quota
// with the refusal.
func (s *State) refuse(j *Job, reason Reason, wait time.Duration) {
	s.refund(j)
	delete(s.jobs, j.ID)
	p := s.pool(j.Service)
	refuse := Refuse{
		Job: j.ID, Reason: reason, RetryAfter: wait, Waiting: len(p.queue.jobs), FreeSlots: p.freeSlots(s.now),
		Crashes: s.crashes.Crashes(j.Fingerprint),
	}
	if q := s.quotas[j.Organisation]; q != nil {
		refuse.QuotaLeft, refuse.QuotaShare = q.balance, q.share
		refuse.QuotaGroupLeft, refuse.QuotaGroupFairShare = q.groupBalance, q.groupFairShare
	}
	s.emit(refuse)
}

// refund returns the charged units of a request to its organisation's quota, because a request that did not run
// doesn't count. It does so only once.
func (s *State) refund(j *Job) {
	if q := s.quotas[j.Organisation]; q != nil && j.quotaCharged {
		q.refund(j.Units, s.now)
		j.quotaCharged = false
	}
}

// fail answers a request that ran or may have run.
func (s *State) fail(j *Job, reason Reason) {
	delete(s.jobs, j.ID)
	s.emit(Failure{Job: j.ID, Reason: reason})
}

// handleTick expires old peer reports and dispatches or refuses queued requests, because both depend on the time and
// not only on other events.
func (s *State) handleTick() {
	s.expirePeers()
	s.expireLosses()
	s.dispatchAllWaiting()
}

// retryBudget returns the retry budget of a service (its limit on resends in a sliding window) and creates it if
// needed.
func (s *State) retryBudget(service string) *retryBudget {
	b := s.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(s.settings, 0)
		s.retryBudgets[service] = b
	}
	return b
}

// allowResend reports whether the retry budget of a request's service allows a resend, and counts it if so. The slack
// is divided by the number of instances, because its setting applies to all of them together.
func (s *State) allowResend(j *Job) bool {
	return s.retryBudget(j.Service).tryResend(s.now, s.settings.RetrySlack/float64(s.instances))
}
