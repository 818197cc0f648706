package wigeonrollout

import (
	"time"

	"wigeonshift"
)

// Settings bound the damage that a bad version may do.
type Settings struct {
	// ExposeShare is the share of a service's requests that a bad version may get over all instances, ExposeSlack a number of
	// requests in addition.
	ExposeShare, ExposeSlack float64
	// RollbackWithin is the time from a bad version's 50th bad answer after which it gets no request.
	RollbackWithin time.Duration
}

const (
	// canaryShare is the part of ExposeShare that the target version gets in the first stage. The rest is kept for the step.
	canaryShare = 0.3
	// budgetShare is the part of ExposeShare that is used before the last stage. The rest covers the time in which a verdict of
	// that stage spreads.
	budgetShare = 0.8
	// stepShare is the largest share of requests and of target endpoints in the second stage.
	stepShare = 0.25
	// instanceSlackShare is the part of ExposeSlack that is divided among the instances. The rest is for instances that start
	// again, and for the spread of a verdict in the last stage.
	instanceSlackShare = 0.8
	// stepAt and writeBy are shares of the order's duration. No state but a rollback is written after writeBy, so that
	// a slow store doesn't hold it beyond the end.
	stepAt  = 0.35
	writeBy = 0.875
	// minEndTime and maxEndTime are shares of the order's duration. They bound the time before writeBy in which running
	// requests on other versions end.
	minEndTime = 0.08
	maxEndTime = 0.25
	// fullRamp is the share of the order's duration within which all instances begin the last stage.
	fullRamp = 0.06
	// maxUnobserved is the largest number of running requests of which nothing is known yet, relative to the judged ones, with which
	// the last stage begins early.
	maxUnobserved = 0.5
	// latestFull is the share of the order's duration at which the last stage begins for a version that may be bad.
	latestFull = writeBy - minEndTime
	// endTimeFactor is applied to the longest run that the instance has seen.
	endTimeFactor = 1.2
	// minCapacity is the least number of the target version's slots, relative to the others', beyond the canary.
	minCapacity = 0.8
	// contactShare is the share of RollbackWithin for which the target version gets requests without any contact.
	contactShare = 0.5
	// maxReportAge is the age up to which a report of another instance counts as current. Other groups report every 2 s.
	maxReportAge = 5 * time.Second
	// maxPeers bounds the reports that are kept, also of instances that have ended.
	maxPeers = 4096
)

// Capacity is what an instance sees of the endpoints of a service.
type Capacity struct {
	// TargetSlots and OtherSlots are the slots of the endpoints that aren't leaving. Other endpoints that may not get requests, as
	// their version was rolled back before, don't count.
	TargetSlots, OtherSlots int
	// TargetEndpoints is the number of endpoints of the target version that the instance's group uses.
	TargetEndpoints int
	// OthersRunning is the number of this instance's requests on endpoints of other versions.
	OthersRunning int
	// IsPartial is set while endpoints may run that aren't listed yet, so that the lack of one proves nothing.
	IsPartial bool
}

// Rollout is the state of one order at one instance. Its methods must not be called concurrently.
type Rollout struct {
	settings Settings
	order    wigeonshift.RolloutOrder
	// startedAt is the time of the order, if isStarted is set.
	startedAt time.Duration
	isStarted bool
	// isLate is set if the instance has learned of the order later than others, as after a start.
	isLate bool
	// instances is the number of instances, this one included; zero until all are known. slack is this instance's part of ExposeSlack, a whole number.
	instances, slack int
	// hasNoSlack is set if the slack may have been used before, for an earlier order or before this instance started.
	hasNoSlack bool
	// offset is added to the share of the budget. It differs between instances so that the parts of a request that each has left
	// add up to whole ones.
	offset float64
	// writerRank is the place of this instance among those that write the state.
	writerRank int
	// sent is the number of this instance's requests of the service since it knows of the order, sentToTarget those of them that
	// went to the target version.
	sent, sentToTarget int
	// longestRun is the longest time that a request ran on another version.
	longestRun time.Duration
	capacity   Capacity
	// hasSeenOthers is set once an endpoint of another version was listed as usable or has run a request, here or at another instance.
	hasSeenOthers bool
	// stage is the present stage. It never falls.
	stage wigeonshift.RolloutStage
	// contactAt is the latest time at which a peer or the store told of the rollout.
	contactAt time.Duration
	state     wigeonshift.RolloutState
	condemned string
	evidence  evidence
	pace      pace
	// unobserved is the number of this instance's running requests on the target version whose pace isn't known.
	unobserved int
	peers      map[string]peerReport
}

// New returns a rollout that an instance has learned of.
func New(order wigeonshift.RolloutOrder, s Settings) *Rollout {
	return &Rollout{settings: s, order: order, evidence: newEvidence(), pace: pace{}, peers: map[string]peerReport{}}
}

// Order returns the order.
func (r *Rollout) Order() wigeonshift.RolloutOrder { return r.order }

// State returns the settled state; empty if it isn't known.
func (r *Rollout) State() wigeonshift.RolloutState { return r.state }

// Stage returns the present stage.
func (r *Rollout) Stage() wigeonshift.RolloutStage { return r.stage }

// Condemned says why the target version counts as bad; empty if it doesn't.
func (r *Rollout) Condemned() string { return r.condemned }

// Start sets the time since the order. Of several ages the highest counts, since nobody knows of an order before it exists.
func (r *Rollout) Start(now, age time.Duration) {
	if !r.isStarted && age > 0 {
		r.isLate = true
		r.WithholdSlack()
	}
	if !r.isStarted || now-age < r.startedAt {
		r.startedAt, r.isStarted = now-age, true
	}
}

// WithholdSlack leaves the target version its share only.
func (r *Rollout) WithholdSlack() { r.hasNoSlack = true }

// Age returns the time since the order; zero if it isn't known.
func (r *Rollout) Age(now time.Duration) time.Duration {
	if !r.isStarted {
		return 0
	}
	return max(now-r.startedAt, 1)
}

// WriterRank returns the place of this instance among those that write the state.
func (r *Rollout) WriterRank() int { return r.writerRank }

// HasEndedOthers reports whether, in the last stage, no request of this instance runs on another version.
func (r *Rollout) HasEndedOthers() bool {
	return r.stage == wigeonshift.RolloutFull && r.capacity.OthersRunning == 0
}

// Totals returns the counts of all instances over all routes.
func (r *Rollout) Totals() []wigeonshift.RolloutCount {
	sums := tallies{}
	for g, p := range r.evidence.total {
		if g.route == allRoutes {
			sums[g] = p
		}
	}
	return sums.counts()
}

// Contact records that the store has told of the rollout.
func (r *Rollout) Contact(now time.Duration) { r.contactAt = now }

// SetInstances sets the IDs of all instances and that of this one. Until then there is no slack, no stage but the first and no
// decision other than a rollback for bad answers, as an instance that knows no other would take itself for the only one. The slack is divided among them in whole requests, because
// parts of a request would let none of many instances send any.
func (r *Rollout) SetInstances(self string, ids []string) {
	r.instances = max(len(ids), 1)
	whole := int(instanceSlackShare * r.settings.ExposeSlack)
	r.slack = whole / r.instances
	if r.rank("slack", self, ids) < whole%r.instances {
		r.slack++
	}
	r.writerRank = r.rank("writer", self, ids)
	r.offset = (float64(min(r.rank("offset", self, ids), r.instances-1)) + 0.5) / float64(r.instances)
}

// rank returns the number of instances that precede one in an order that differs between rollouts and purposes.
func (r *Rollout) rank(purpose, self string, ids []string) int {
	key, rank := purpose+"/"+r.order.Service+"/"+r.order.Target, 0
	own := wigeonshift.RendezvousScore(key, self)
	for _, id := range ids {
		if wigeonshift.RendezvousScore(key, id) > own {
			rank++
		}
	}
	return rank
}

// Settle sets the state that the store holds. A final state is never replaced.
func (r *Rollout) Settle(state wigeonshift.RolloutState) {
	if !r.state.Final() {
		r.state = state
	}
}

// Update sets the capacity, and moves on to the stage that is due.
func (r *Rollout) Update(now time.Duration, c Capacity) {
	r.capacity = c
	r.hasSeenOthers = r.hasSeenOthers || c.OtherSlots > 0 || c.OthersRunning > 0
	if r.state.Final() {
		return
	}
	r.forgetOverdue(now)
	if r.condemned == "" {
		r.condemned = r.evidence.verdict()
	}
	if r.condemned == "" && r.Age(now) >= r.fraction(latestFull) {
		// There is no time left to wait for the ends of what runs.
		r.condemned = r.evidence.overdue()
		if r.condemned == "" && r.stage < wigeonshift.RolloutFull {
			r.condemned = r.evidence.doubt()
		}
	}
	if r.condemned == "" && r.isStarted && r.instances > 0 && r.hasContact(now) && r.hasCapacity() && !r.capacity.IsPartial {
		r.stage = max(r.stage, r.stageAt(r.Age(now)))
	}
}

// Decide returns the state to be written, and why. It is running while the rollout goes on.
func (r *Rollout) Decide(now time.Duration) (wigeonshift.RolloutState, string) {
	switch {
	case r.state.Final():
		return r.state, ""
	case r.condemned != "":
		return wigeonshift.RolloutRolledBack, r.condemned
	case !r.isStarted, r.instances == 0:
		return wigeonshift.RolloutRunning, ""
	case r.stage != wigeonshift.RolloutFull && r.isSureOfOnlyVersion(now):
		return wigeonshift.RolloutCompleted, "no other version runs"
	case r.stage == wigeonshift.RolloutFull && r.othersEnded(now):
		return wigeonshift.RolloutCompleted, "no request runs on another version"
	case r.Age(now) < r.fraction(writeBy):
		return wigeonshift.RolloutRunning, ""
	case r.stage == wigeonshift.RolloutFull && r.hasContact(now):
		return wigeonshift.RolloutCompleted, "time is up; some requests still run on another version"
	case !r.hasCapacity() && !r.capacity.IsPartial:
		return wigeonshift.RolloutRolledBack, "endpoints of the target version are missing"
	default:
		return wigeonshift.RolloutRunning, ""
	}
}

// othersEnded reports whether no instance runs requests on other versions, as the latest reports of all say.
func (r *Rollout) othersEnded(now time.Duration) bool {
	if r.capacity.OthersRunning > 0 {
		return false
	}
	current := 1
	for _, p := range r.peers {
		if now-p.at > maxReportAge {
			continue
		}
		if p.Stage != wigeonshift.RolloutFull || p.OthersRunning > 0 {
			return false
		}
		current++
	}
	return current >= r.instances
}
