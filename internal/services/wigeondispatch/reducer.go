package wigeondispatch

import (
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/internal/services/wigeonquota"
)

// State is the scheduling state of one instance: endpoints, requests, quotas and the load of the other instances. Its
// methods must not be called concurrently.
type State struct {
	settings  Settings
	now       time.Duration
	pools     map[string]*pool
	endpoints map[string]*endpoint
	jobs      map[JobID]*Job
	quotas    map[string]*wigeonquota.Quota
	peers     map[string]*peer
	// members are the peers of this instance's group, by name.
	members      []member
	retryBudgets map[string]*wigeonbudget.Budget
	// crashes holds the crashes that all instances know of.
	crashes *wigeonquarantine.Record
	// losses holds the attempts that this instance lost recently, by incarnation of the endpoint.
	losses map[incarnation]*losses
	// answers counts the successful answers that this instance received.
	answers *wigeonquarantine.AnswerCounter
	// trials holds the trials of requests that are suspected by what they share, by content.
	trials map[wigeonshift.Fingerprint]*trials
	// causeTrials holds the trials of requests that are suspected for a cause of crashes, by the key of the cause.
	causeTrials map[wigeonshift.Fingerprint]*causeTrials
	// processes holds the latest known process of each endpoint by its ID, also of those that are not listed for a while.
	processes map[string]*process
	// instanceIDs are the IDs of all instances.
	instanceIDs []string
	// groupIDs are the IDs of the other instances of this one's group, also of those that can't be reached.
	groupIDs []string
	// share is the part of what all instances share that this instance may use until shareUntil.
	share      float64
	shareUntil time.Duration
	// tickedAt is the time of the latest Tick event, pausedAt the time at which a Tick event showed that the instance had
	// been paused.
	tickedAt, pausedAt time.Duration
	// auditedAt is the time of the latest audit.
	auditedAt time.Duration
	// promptsExpiredAt is the time of the latest expireKeptPrompts that did anything.
	promptsExpiredAt time.Duration
	// endsAt is the time at which the instance ends; zero while it doesn't stop.
	endsAt time.Duration
	// listIsComplete is set once all instances are known.
	listIsComplete bool
	// endpointsComplete is set once all endpoints that ran when the instance started are listed.
	endpointsComplete bool
	// instances is the number of instances including this one, at least 1.
	instances int
	groups    *Groups
	rollouts  rollouts
	// departures are the endpoints that leave or are gone.
	departures departures
	// reach is what the instance knows of its way to the endpoints.
	reach reach
	// hedging is what hedges are decided by; nil if they are off.
	hedging *hedging
	effects []Effect
}

// New returns the state of an instance without configuration, endpoints and requests.
func New(settings Settings) *State {
	return &State{
		settings:     settings,
		pools:        map[string]*pool{},
		endpoints:    map[string]*endpoint{},
		jobs:         map[JobID]*Job{},
		quotas:       map[string]*wigeonquota.Quota{},
		peers:        map[string]*peer{},
		retryBudgets: map[string]*wigeonbudget.Budget{},
		crashes:      wigeonquarantine.NewRecord(wigeonquarantine.Limit),
		losses:       map[incarnation]*losses{},
		processes:    map[string]*process{},
		answers:      wigeonquarantine.NewAnswerCounter(),
		trials:       map[wigeonshift.Fingerprint]*trials{},
		causeTrials:  map[wigeonshift.Fingerprint]*causeTrials{},
		instances:    1,
		reach:        newReach(),
		groups:       NewGroups(nil),
		rollouts:     newRollouts(settings.Rollout),
		departures:   newDepartures(),
		hedging:      newHedging(settings),
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
		s.departures.revision = e.Revision
		s.replaceEndpoints(e.Records)
	case EndpointsCompleted:
		s.endpointsComplete = true
	case RequestArrived:
		s.handleArrival(e.Job)
	case FirstEventReceived:
		s.handleFirstEvent(e)
	case HedgeDue:
		s.handleHedgeDue(e)
	case AttemptStalled:
		s.handleStall(e.Job)
	case AttemptEnded:
		s.endAttempt(e)
	case EndpointSignalled:
		s.recordSignal(e)
	case EndpointChecked:
		s.handleEndpointChecked(e)
	case CrashesListed:
		s.replaceCrashes(e.CrashEvidence)
	case RequestWithdrawn:
		s.withdraw(e)
	case PeerReported:
		s.handlePeerReport(e.Peer, e.Load)
	case PeerLost:
		s.handlePeerLost(e.Peer)
	case ShareGranted:
		s.share, s.shareUntil = e.Share, e.Until
	case InstancesListed:
		s.listIsComplete = s.listIsComplete || e.Complete
		s.updateGroups(e.Instances)
	case EndpointProbed:
		s.handleProbed(e)
	case PassEnded:
		s.handlePassEnded(e)
	case StopAnnounced:
		s.shortenDeadlines(e.EndsAt)
	case RolloutsListed:
		s.replaceRollouts(e)
	case RolloutRead:
		s.handleRolloutRead(e)
	case Tick:
		s.handleTick(e)
	}
	return s.effects
}

// shortenDeadlines lets no request last longer than the instance, so that none is sent so late that it can't end.
func (s *State) shortenDeadlines(endsAt time.Duration) {
	s.endsAt = endsAt
	for _, j := range s.jobs {
		j.Deadline = min(j.Deadline, endsAt)
	}
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
	maps.DeleteFunc(s.quotas, func(name string, _ *wigeonquota.Quota) bool { return !organisations[name] })
	for _, p := range s.pools {
		maps.DeleteFunc(p.meanSizes, func(route string, _ float64) bool { return !routes[route] })
	}
	for i := range c.Services {
		s.pool(c.Services[i].Name).profile = c.Services[i].Engine
	}
	for _, o := range c.Organisations {
		if q := s.quotas[o.Name]; q != nil {
			q.SetLimit(s.settings.quotaTolerance().LimitOf(o), s.now)
		} else {
			s.quotas[o.Name] = wigeonquota.New(s.settings.quotaTolerance().LimitOf(o), s.now)
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
// restarted or moved to another service. Rows from an older copy of the list count as those of the
// known process. Then it updates what depends on the list, and dispatches queued requests that
// a new endpoint may accept.
func (s *State) replaceEndpoints(records []wigeonshift.EndpointRecord) {
	listed := map[string]bool{}
	records = slices.Clone(records)
	for i := range records {
		known := s.noteProcess(records[i])
		records[i].StartedAtMillis = known.startedAtMillis
		r := records[i]
		listed[r.ID] = true
		e := s.endpoints[r.ID]
		if e != nil && e.record.StartedAtMillis == r.StartedAtMillis && e.record.Service == r.Service {
			e.record = r
			continue
		}
		p := s.pool(r.Service)
		fresh := newEndpoint(r, p)
		fresh.signals = known.signals
		if e != nil {
			s.recordRestart(e, r)
			s.removeEndpoint(e)
		}
		s.endpoints[r.ID] = fresh
		p.add(fresh)
	}
	s.recordReusedAddresses(records)
	for id, e := range s.endpoints {
		if !listed[id] {
			s.recordRemoval(e)
			s.recordDeparture(e)
			s.removeEndpoint(e)
		}
	}
	s.applyLeavingReports()
	s.markOtherGroupEndpoints()
	s.recomputePeerLoads()
	s.updateRollouts()
	s.dispatchAllWaiting()
}

// removeEndpoint removes an endpoint. It also marks the endpoint as leaving, because its running requests refer to it
// until they end and it must get no others meanwhile.
func (s *State) removeEndpoint(e *endpoint) {
	delete(s.endpoints, e.record.ID)
	e.record.Leaving = true
	e.pool.remove(e)
}

// handleTick expires old peer reports and dispatches or refuses queued requests, because both depend on the time and
// not only on other events.
func (s *State) handleTick(ev Tick) {
	s.recordEvents(ev.Events)
	if s.now-s.tickedAt > maxTickGap {
		s.pausedAt = s.now
	}
	s.tickedAt = s.now
	s.expirePeers()
	s.expireLosses()
	s.expireTrials()
	s.expireCauseTrials()
	s.expireProcesses()
	s.expireBrittle()
	s.expireKeptPrompts()
	s.expireReach()
	s.expireDepartures()
	s.audit()
	s.updateRollouts()
	s.dispatchAllWaiting()
}

// retryBudget returns the retry budget of a service (its limit on resends in a sliding window) and creates it if
// needed.
func (s *State) retryBudget(service string) *wigeonbudget.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = wigeonbudget.New(s.settings.RetryRatio, s.settings.RetryWindow)
		s.retryBudgets[service] = b
	}
	return b
}

// retrySlack returns this instance's part of the resends that are allowed regardless of the number of requests.
func (s *State) retrySlack() float64 {
	if s.now >= s.shareUntil {
		return 0
	}
	return s.share * s.settings.RetrySlack
}

// countRequest counts a new request in the retry budget of its service. It leaves out requests that may have been waiting
// to be read while the instance was paused, because nobody knows when their callers sent them.
func (s *State) countRequest(j *Job) {
	if s.now-s.tickedAt > maxTickGap || s.pausedAt > 0 && s.now-s.pausedAt < wigeonbudget.MaxReceiveDelay {
		return
	}
	s.retryBudget(j.Service).CountRequest(s.now)
	if s.hedging != nil {
		s.hedging.limits.CountRequest(s.now, j.Service)
	}
}

// reserveResend reports whether the retry budget of a request's service allows a resend, and reserves it if so. The resend
// is decided on again when the request is sent, because it may be queued until then.
func (s *State) reserveResend(j *Job) bool {
	b := s.retryBudget(j.Service)
	d := b.Decide(s.now, s.retrySlack(), b.Reserved())
	j.resend = &d
	if d.Allowed {
		j.resendReserved = true
		b.Reserve()
	}
	return d.Allowed
}

// useResend reports whether a queued request may be sent again now, and counts the resend if so.
func (s *State) useResend(j *Job) bool {
	s.releaseResend(j)
	b := s.retryBudget(j.Service)
	d := b.Decide(s.now, s.retrySlack(), 0)
	j.resend = &d
	if d.Allowed {
		j.resendSlot, j.resendPending = b.CountResend(s.now), true
	}
	return d.Allowed
}

// recordResendArrival records that the endpoint has received the running attempt of a request, as its answer shows.
func (s *State) recordResendArrival(j *Job) {
	if j.resendPending {
		s.retryBudget(j.Service).RecordArrival(j.resendSlot, s.now)
		j.resendPending = false
	}
}

// cancelResend takes back the resend of the running attempt, which nobody will send.
func (s *State) cancelResend(j *Job) {
	if j.resendPending {
		s.retryBudget(j.Service).CancelResend(j.resendSlot, s.now)
		j.resendPending = false
	}
}

// releaseResend gives up the reserved resend of a request, if it has one.
func (s *State) releaseResend(j *Job) {
	if j.resendReserved {
		j.resendReserved = false
		s.retryBudget(j.Service).Release()
	}
}

// forget removes a request that has ended.
func (s *State) forget(j *Job) {
	s.releaseResend(j)
	s.endTrial(j)
	s.endCauseTrial(j)
	delete(s.jobs, j.ID)
}
