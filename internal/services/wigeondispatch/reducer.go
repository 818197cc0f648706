package wigeondispatch

import (
	"maps"
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
	d := s.retryBudget(j.Service).tryResend(s.now, s.settings.RetrySlack/float64(s.instances))
	j.resend = &d
	return d.Allowed
}
