package wigeondispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"wigeonshift"
)

const (
	// decodeCostWeight is the weight of the decode time relative to the time to the first event in the cost.
	decodeCostWeight = 1
	// failureCost is the cost of an endpoint whose attempts all fail. It is scaled by the failure rate.
	failureCost = 3 * time.Second
	// sharedSuspicionCost is the additional cost, in nanoseconds, of an endpoint that runs another request suspected of a
	// crash, for a suspected one. It outweighs all other costs.
	sharedSuspicionCost = float64(time.Hour)
	// chanceDeviations is the number of mean distances of a single sample by which the measured times of endpoints that are equally
	// fast may differ.
	chanceDeviations = 2
	// probeSaving is subtracted from the cost, in nanoseconds, of an endpoint whose limit may have ended unnoticed.
	probeSaving = float64(time.Minute)
)

// estimate holds the expected times and the cost of running a request on an endpoint.
type estimate struct {
	// firstEvent is the time to the first event or to a plain answer, total the time to the end of the answer.
	firstEvent, total time.Duration
	// cost ranks the endpoints; a request goes to the one with the lowest cost. It is in nanoseconds.
	cost float64
}

// estimate returns the expected times and the cost of running a request on an endpoint with its current load, so that
// the request can go to the endpoint with the lowest cost. The first event of a model engine is expected after the
// prompts that all instances have pending there. The cost of a plain request (one without tokens) grows with the share
// of slots in use.
func (s *State) estimate(e *endpoint, j *Job) estimate {
	wait := e.queueWait()
	est := estimate{}
	if j.HasTokens {
		pending := e.ownLoad.prefill + e.peerLoad.prefill + j.PromptTokens - s.keptTokens(e, j)
		est.firstEvent = wait + time.Duration(pending)*e.prefill + time.Duration(e.pool.eventTokens())*e.decodeStep
		decode := time.Duration(j.ExpectedAnswerTokens) * e.decodeStep
		est.total = est.firstEvent + decode
		est.cost = float64(est.firstEvent) + decodeCostWeight*float64(decode)
	} else {
		est.firstEvent = wait + e.plain
		est.total = est.firstEvent
		est.cost = float64(est.firstEvent) * (1 + e.loadShare())
	}
	est.cost += e.failureRate * float64(failureCost)
	if s.crossesZones(e) {
		est.cost += float64(s.settings.CrossZonePrice)
	}
	return est
}

// idleLatency returns the total time of a request on a model engine that runs no other requests.
func (e *endpoint) idleLatency(j *Job) time.Duration {
	return time.Duration(j.PromptTokens)*e.prefill + time.Duration(j.ExpectedAnswerTokens)*e.decodeStep
}

// queueWait returns the expected time that a new request waits in the endpoint's own queue. It is zero if a slot is
// free; otherwise it is the time until enough of the requests that are ahead have left their slots.
func (e *endpoint) queueWait() time.Duration {
	if e.isShared() {
		// The measured times include the wait for requests of other groups.
		return 0
	}
	ahead := e.running() - e.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return e.pool.meanSlotTime * time.Duration(ahead) / time.Duration(e.slots())
}

// canAccept reports whether an endpoint can get a request in addition to those that it runs. queueLimit is the number
// of requests that it may have beyond its slots; they wait in its own queue, so the wait there is limited too. The
// requests must also fit into the engine's memory if its size is known, except that an idle engine accepts a request
// of any size. Nothing waits at endpoints that name a limit or are brittle.
func (s *State) canAccept(e *endpoint, j *Job, queueLimit int) bool {
	if !e.available(s.now) || j.hasFailedOn(e.record.ID) || !e.mayTest(j, s.now) || !s.allowsVersion(e, j) {
		return false
	}
	if e.ownLoad.running >= e.rampLimit(s.now) {
		return false
	}
	if e.isLimited() || e.pool.brittle != nil {
		queueLimit = 0
	}
	if !e.hasRoom(queueLimit) {
		return false
	}
	p, reserved := e.pool.profile, e.ownLoad.reservedTokens+e.peerLoad.reservedTokens
	if p != nil && p.CacheTokens > 0 && e.running() > 0 && reserved+j.tokenFootprint() > p.CacheTokens {
		return false
	}
	return s.allowsRequest(e, j)
}

// hasRoom reports whether an endpoint can get one more request, with up to queueLimit in its own queue.
func (e *endpoint) hasRoom(queueLimit int) bool {
	if e.isShared() {
		return e.groupRunning() < e.allowance+max(queueLimit-maxEndpointQueue, 0)
	}
	if e.running() >= e.slots()+queueLimit {
		return false
	}
	return e.running() < e.slots() || e.queueWait() <= maxEndpointQueueWait
}

// placementRound is the state of one pass over the queued requests of a service.
type placementRound struct {
	// freedEndpoint is the endpoint on which a request of this instance has just ended, or nil.
	freedEndpoint *endpoint
	// backlog counts the requests that are still queued in this round.
	backlog
	// skippedJob is set once an earlier request of the round found no endpoint.
	skippedJob bool
	// onlyVersion is the version that the request is to go to; empty if to any allowed one.
	onlyVersion string
}

// includes reports whether the round considers an endpoint.
func (r placementRound) includes(e *endpoint) bool {
	return r.onlyVersion == "" || e.record.Version == r.onlyVersion
}

// contention compares a request with those that are queued for the same service at the other instances of the group.
type contention struct {
	// level is the priority level of the request.
	level int
	// yield is set if the other instances have enough requests of a higher priority to use all free slots.
	yield bool
	// contested is set if the other instances have enough requests of this or a higher priority to use all free slots.
	contested bool
}

// contentionFor returns the contention for the free slots of a pool, so that instances of a group leave the slots to
// the requests of the highest priority. peers counts the requests that are queued at the other instances of the group.
func (s *State) contentionFor(p *pool, j *Job, peers waitingCounts) contention {
	c := contention{level: p.priorityLevel(j, s.now)}
	free := s.freeSlots(p)
	c.yield = peers.countBefore(c.level) > 0 && peers.countBefore(c.level) >= free
	c.contested = peers.countUpTo(c.level) > 0 && peers.countUpTo(c.level) >= free
	return c
}

// chooseEndpoint returns the endpoint for a request, or nil if none can accept it. While a rollout gives its target version a
// share, a request within the share goes to an endpoint of that version if one can accept it, otherwise to any allowed one. Each
// pass makes the whole choice, because a request that is kept from the other versions for a target endpoint that doesn't accept
// it would wait until its deadline.
func (s *State) chooseEndpoint(p *pool, j *Job, round placementRound) *endpoint {
	r := s.rollouts.byService[p.name]
	if r == nil || r.State() == wigeonshift.RolloutCompleted {
		return s.chooseAllowedEndpoint(p, j, round)
	}
	if r.TargetShare(s.now) < 1 && s.allowsTarget(r, j) {
		targets := round
		targets.onlyVersion = r.Order().Target
		if e := s.chooseAllowedEndpoint(p, j, targets); e != nil {
			return e
		}
	}
	if e := s.chooseAllowedEndpoint(p, j, round); e != nil || r.MayUseOthers(s.now) || s.canUseVersion(p, j, r.Order().Target) {
		return e
	}
	// No endpoint of the target version can take the request, also later. The others don't get new requests in this stage, but
	// this one would starve.
	defer s.barEndpoints(p, r)
	for _, e := range p.endpoints {
		e.barred = e.barred && s.isRejected(e)
	}
	return s.chooseAllowedEndpoint(p, j, round)
}

// chooseAllowedEndpoint returns the endpoint with the lowest cost for a request, or nil if none can accept it. Of several plain endpoints
// whose times differ by chance only, it returns the one that has waited longest for a request. It considers the
// endpoints of this instance's group (the instances that report every change of their load to each other) and, if few of its
// slots are in use, the one of another group that is the home of the request's prompt; the others only if none of these can. It
// returns nil if the group's other instances have enough requests of a higher priority to use all free slots. If the free
// slots are contested, it considers only the endpoints at which this instance has precedence and the one on which a
// request of this instance has just ended. A request that failed over (moved from an endpoint that may have run it)
// ignores contention, because its caller may be waiting in the middle of an answer.
func (s *State) chooseAllowedEndpoint(p *pool, j *Job, round placementRound) *endpoint {
	c, queueLimit := s.contentionFor(p, j, round.peers), maxEndpointQueue
	if round.skippedJob {
		queueLimit = 0
	}
	if j.failedOver {
		c, queueLimit = contention{level: c.level}, maxFailoverEndpointQueue
	}
	if round.onlyVersion != "" {
		// A wait in the queue of one of the few target endpoints would count as slowness of the version.
		queueLimit = 0
	}
	if c.yield || s.mayBeQuarantined(j) {
		return nil
	}
	var withSuspects map[*endpoint]bool
	if s.suspected(j) {
		withSuspects = s.endpointsWithSuspects(j.Fingerprint)
	}
	choice := endpointChoice{isPlain: !j.HasTokens}
	canMeetDeadline := s.deadlineFeasible(p, j)
	home := p.home(j)
	candidates := p.ownEndpoints
	if home != nil && home.otherGroup && j.mayUseDistantHome() && home.loadShare() < homeMaxLoadShare {
		candidates = append(slices.Clone(candidates), home)
	}
	for _, e := range candidates {
		if !round.includes(e) || !s.canAccept(e, j, queueLimit) {
			continue
		}
		est := s.estimate(e, j)
		if canMeetDeadline && est.total > j.Deadline-s.now {
			continue
		}
		if c.contested && e != round.freedEndpoint && !e.isLimited() && p.brittle == nil && !s.hasPrecedence(e, c.level) {
			continue
		}
		if !s.hasSureRoom(e, round.freedEndpoint, j) {
			continue
		}
		if e.needsProbe(s.now) {
			est.cost -= probeSaving
		}
		if withSuspects[e] {
			est.cost += sharedSuspicionCost
		}
		choice.add(e, est.cost-e.promptSaving(j, home, s.now))
	}
	if choice.best.endpoint == nil {
		return s.chooseOtherGroupEndpoint(p, j, round)
	}
	if choice.isPlain {
		return choice.longestWaiting()
	}
	return choice.best.endpoint
}

// candidate is an endpoint that can accept a request, with its cost in nanoseconds.
type candidate struct {
	endpoint *endpoint
	cost     float64
}

// endpointChoice holds the endpoint with the lowest cost of those that can accept a request, and for a plain one all of them.
type endpointChoice struct {
	isPlain    bool
	best       candidate
	candidates []candidate
}

func (c *endpointChoice) add(e *endpoint, cost float64) {
	x := candidate{endpoint: e, cost: cost}
	if c.best.endpoint == nil || cost < c.best.cost {
		c.best = x
	}
	if c.isPlain {
		c.candidates = append(c.candidates, x)
	}
}

// longestWaiting returns, of the endpoints that differ from the best one by chance only, the one with the smallest share of its slots in
// use, then the one whose last request is longest ago. A measurement that is too high by chance would otherwise stay so, as the
// endpoint gets no further requests. Endpoints of another availability zone than the best one's don't count.
func (c *endpointChoice) longestWaiting() *endpoint {
	best := c.best.endpoint
	limit := c.best.cost + chanceDeviations*float64(best.plainDeviation)
	for _, x := range c.candidates {
		e := x.endpoint
		if x.cost > limit || e.record.Zone != c.best.endpoint.record.Zone {
			continue
		}
		if order := cmp.Compare(e.loadShare(), best.loadShare()); order < 0 || order == 0 && e.dispatchedAt < best.dispatchedAt {
			best = e
		}
	}
	return best
}

// deadlineFeasible reports whether some endpoint would be fast enough to finish a request by its deadline if it were
// idle. If so, the request waits for such an endpoint, because on a slower one its answer would be cut off at the
// deadline. If not, waiting wouldn't help, and any endpoint may run it.
func (s *State) deadlineFeasible(p *pool, j *Job) bool {
	for _, e := range p.ownEndpoints {
		if e.available(s.now) && e.idleLatency(j) < j.Deadline-s.now {
			return true
		}
	}
	return false
}

// loadShare returns the number of requests that run on the endpoint as a share of its slots, or the group's as a share of its part.
func (e *endpoint) loadShare() float64 {
	if e.isShared() {
		return float64(e.groupRunning()) / float64(max(e.allowance, 1))
	}
	return float64(e.running()) / float64(e.slots())
}

// crossesZones reports whether an endpoint is in another availability zone than this instance.
func (s *State) crossesZones(e *endpoint) bool { return e.record.Zone != s.settings.Zone }

// chooseOtherGroupEndpoint returns an endpoint of another group that was not busy by the latest reports, or nil. It prefers those of this
// instance's zone, and returns one of another zone only if waiting for a slot of the own group takes longer than crossing costs. Different
// requests prefer different endpoints. Otherwise many instances would choose the same one, because they all see the same
// old reports.
func (s *State) chooseOtherGroupEndpoint(p *pool, j *Job, round placementRound) *endpoint {
	if p.brittle != nil {
		return nil
	}
	var best *endpoint
	bestScore := uint64(0)
	mayCross := s.slotInterval(p) > s.settings.CrossZonePrice
	key := s.settings.Instance + "/" + strconv.FormatUint(uint64(j.ID), 10)
	for _, e := range p.endpoints {
		if !e.otherGroup || !round.includes(e) || !s.mayBorrow(e) || !s.canAccept(e, j, 0) {
			continue
		}
		crosses := s.crossesZones(e)
		if crosses && (!mayCross || best != nil && !s.crossesZones(best)) {
			continue
		}
		score := wigeonshift.RendezvousScore(key, e.record.ID)
		if best == nil || score > bestScore || !crosses && s.crossesZones(best) {
			best, bestScore = e, score
		}
	}
	return best
}
