package wigeondispatch

import (
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonrollout"
)

// rollouts holds the rollout orders that the instance knows.
type rollouts struct {
	settings wigeonrollout.Settings
	// byService holds the latest order of each service.
	byService map[string]*wigeonrollout.Rollout
	// rejected holds the versions of each service whose orders went without being completed. They get no requests until they are
	// ordered again, their endpoints are gone or no other version is left.
	rejected map[string]map[string]bool
	// ordered holds the services that had an order before. The slack isn't given again to the next one.
	ordered map[string]bool
	// news counts the changes that other instances should learn of at once.
	news uint64
	// noted is what is known of each rollout, as the latest RolloutRecorded effect says.
	noted map[string]rolloutNote
}

// rolloutNote is the part of a rollout whose changes are news.
type rolloutNote struct {
	revision  uint64
	state     wigeonshift.RolloutState
	stage     wigeonshift.RolloutStage
	condemned string
	// badAnswers is the number of bad answers that this instance has seen.
	badAnswers int
	// othersEnded is set in the last stage once no request of this instance runs on another version.
	othersEnded bool
}

func newRollouts(s wigeonrollout.Settings) rollouts {
	return rollouts{
		settings: s, byService: map[string]*wigeonrollout.Rollout{}, rejected: map[string]map[string]bool{}, ordered: map[string]bool{},
		noted: map[string]rolloutNote{},
	}
}

// replaceRollouts replaces the orders. One that the store has listed may be of any age; one that has just changed is new.
func (s *State) replaceRollouts(ev RolloutsListed) {
	listed := map[string]bool{}
	for _, order := range ev.Orders {
		listed[order.Service] = true
		known := s.rollouts.byService[order.Service]
		if known != nil && known.Order() == order {
			continue
		}
		s.rejectUncompleted(known)
		delete(s.rollouts.rejected[order.Service], order.Target)
		r := wigeonrollout.New(order, s.rollouts.settings)
		s.setRolloutInstances(r)
		if s.rollouts.ordered[order.Service] {
			r.WithholdSlack()
		}
		s.rollouts.ordered[order.Service] = true
		if !ev.MayBeOld {
			r.Start(s.now, 0)
			r.Contact(s.now)
		}
		s.rollouts.byService[order.Service] = r
	}
	for service, r := range s.rollouts.byService {
		if !listed[service] {
			s.rejectUncompleted(r)
			delete(s.rollouts.byService, service)
		}
	}
	maps.DeleteFunc(s.rollouts.noted, func(service string, _ rolloutNote) bool { return !listed[service] })
	for _, p := range s.pools {
		if !listed[p.name] {
			s.barRejected(p)
		}
	}
	s.updateRollouts()
	s.dispatchAllWaiting()
}

// setRolloutInstances sets the instances of a rollout once all are known.
func (s *State) setRolloutInstances(r *wigeonrollout.Rollout) {
	if s.listIsComplete {
		r.SetInstances(s.settings.Instance, s.instanceIDs)
	}
}

// handleRolloutRead records what the store says of a rollout.
func (s *State) handleRolloutRead(ev RolloutRead) {
	r := s.rollouts.byService[ev.Service]
	if r == nil || r.Order().Revision != ev.OrderRevision {
		return
	}
	r.Contact(s.now)
	if ev.IsAgeKnown {
		r.Start(s.now, ev.Age)
	}
	if ev.State != "" {
		r.Settle(ev.State)
	}
	s.updateRollouts()
	s.dispatchAllWaiting()
}

// mergeRollouts adds what another instance knows. A verdict holds at once.
func (s *State) mergeRollouts(peer string, reports []wigeonshift.RolloutReport) {
	hasNews := false
	for _, report := range reports {
		r := s.rollouts.byService[report.Service]
		if r == nil {
			continue
		}
		condemned, state := r.Condemned(), r.State()
		r.Merge(peer, report, s.now)
		hasNews = hasNews || r.Condemned() != condemned || r.State() != state
	}
	if hasNews {
		s.updateRollouts()
	}
}

// rolloutReports returns what this instance tells the others. Unfinished orders come first, because the number of reports is
// bounded and a finished order also has its state in the store.
func (s *State) rolloutReports() []wigeonshift.RolloutReport {
	var out []wigeonshift.RolloutReport
	services := slices.Sorted(maps.Keys(s.rollouts.byService))
	for _, isFinal := range []bool{false, true} {
		for _, service := range services {
			r := s.rollouts.byService[service]
			if r.State().Final() == isFinal && len(out) < wigeonshift.MaxRolloutReports {
				out = append(out, r.Report(s.now))
			}
		}
	}
	return out
}

// updateRollouts moves the rollouts on and determines which endpoints may get requests.
func (s *State) updateRollouts() {
	if len(s.rollouts.byService) == 0 && len(s.rollouts.rejected) == 0 {
		return
	}
	s.expireRejected()
	s.measureRollouts()
	for _, service := range slices.Sorted(maps.Keys(s.rollouts.byService)) {
		r := s.rollouts.byService[service]
		p := s.pools[service]
		r.Update(s.now, s.rolloutCapacity(p, r.Order().Target))
		if p != nil {
			s.barEndpoints(p, r)
		}
		s.noteRollout(r)
	}
}

// rolloutCapacity returns the slots of both versions. Those of a version that was rolled back before don't count.
func (s *State) rolloutCapacity(p *pool, target string) wigeonrollout.Capacity {
	var c wigeonrollout.Capacity
	if p == nil {
		return c
	}
	for _, e := range p.endpoints {
		onTarget := e.record.Version == target
		if !onTarget {
			c.OthersRunning += e.ownLoad.running
		}
		switch {
		case e.isLeaving():
		case onTarget:
			c.TargetSlots += e.slots()
		case s.isRejected(e):
		default:
			c.OtherSlots += e.slots()
		}
	}
	c.TargetEndpoints = len(p.targetEndpoints(target))
	c.IsPartial = s.settings.AwaitsList && !s.endpointsComplete
	return c
}

// targetEndpoints returns the endpoints of a version that this instance's group uses: its own, or all if it has none.
func (p *pool) targetEndpoints(version string) []*endpoint {
	var own, all []*endpoint
	for _, e := range p.endpoints {
		if e.record.Version != version || e.isLeaving() {
			continue
		}
		all = append(all, e)
		if !e.otherGroup {
			own = append(own, e)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// barEndpoints bars the endpoints of a service that get no requests by the state of its rollout. If the target version has
// all requests but no endpoint is available, the others go on until they are released.
func (s *State) barEndpoints(p *pool, r *wigeonrollout.Rollout) {
	target := r.Order().Target
	targets := p.targetEndpoints(target)
	usable := map[*endpoint]bool{}
	anyAvailable := false
	for _, e := range targets[:min(r.UsableEndpoints(s.now), len(targets))] {
		usable[e] = true
		e.barred = false
		anyAvailable = anyAvailable || e.available(s.now)
	}
	isFull := r.TargetShare(s.now) >= 1
	// If the target version gets nothing and all others are rejected, one of those is better than none.
	isOutOfVersions := r.TargetShare(s.now) == 0 && !slices.ContainsFunc(p.endpoints, func(e *endpoint) bool {
		return e.record.Version != target && !e.isLeaving() && !s.isRejected(e)
	})
	useOthers := r.MayUseOthers(s.now) || !anyAvailable && r.State() != wigeonshift.RolloutCompleted
	for _, e := range p.endpoints {
		if e.record.Version == target {
			e.barred = !isFull && !usable[e]
			continue
		}
		e.barred = !useOthers || s.isRejected(e) && !isOutOfVersions
	}
}

// rejectUncompleted bars the target version of an order that another replaces or that is gone, unless it was completed. Nothing
// shows that the version is good. r may be nil.
func (s *State) rejectUncompleted(r *wigeonrollout.Rollout) {
	if r == nil || r.State() == wigeonshift.RolloutCompleted {
		return
	}
	service := r.Order().Service
	if s.rollouts.rejected[service] == nil {
		s.rollouts.rejected[service] = map[string]bool{}
	}
	s.rollouts.rejected[service][r.Order().Target] = true
}

// expireRejected forgets the rejected versions whose endpoints are gone, and bars those of services without an order.
func (s *State) expireRejected() {
	for service, versions := range s.rollouts.rejected {
		p := s.pools[service]
		maps.DeleteFunc(versions, func(version string, _ bool) bool {
			return p == nil || !slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.record.Version == version })
		})
		if p != nil && s.rollouts.byService[service] == nil {
			s.barRejected(p)
		}
		if len(versions) == 0 {
			delete(s.rollouts.rejected, service)
		}
	}
}

// barRejected bars the endpoints of rejected versions of a service without an order, and no others.
func (s *State) barRejected(p *pool) {
	hasOthers := slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return !e.isLeaving() && !s.isRejected(e) })
	for _, e := range p.endpoints {
		e.barred = hasOthers && s.isRejected(e)
	}
}

// isRejected reports whether the version of an endpoint was the target of an order that went without being completed.
func (s *State) isRejected(e *endpoint) bool {
	return s.rollouts.rejected[e.pool.name][e.record.Version]
}

// allowsVersion reports whether a request may go to the version of an endpoint that isn't barred. Only the target version is
// bounded by a share.
func (s *State) allowsVersion(e *endpoint, j *Job) bool {
	if len(s.rollouts.byService) == 0 {
		return true
	}
	r := s.rollouts.byService[e.pool.name]
	return r == nil || e.record.Version != r.Order().Target || s.allowsTarget(r, j)
}

// isRollingOut reports whether a rollout of a service runs.
func (s *State) isRollingOut(service string) bool {
	r := s.rollouts.byService[service]
	return r != nil && !r.State().Final()
}

// allowsTarget reports whether a request may go to the target version. One that it has failed goes to another version while
// there is one.
func (s *State) allowsTarget(r *wigeonrollout.Rollout, j *Job) bool {
	return r.TargetShare(s.now) >= 1 || !j.failedOnTarget && r.MayUseTarget(s.now)
}

// canUseVersion reports whether an endpoint of a version may take a request once it has room.
func (s *State) canUseVersion(p *pool, j *Job, version string) bool {
	for _, e := range p.endpoints {
		if e.record.Version == version && e.available(s.now) && !j.hasFailedOn(e.record.ID) && e.mayTest(j, s.now) {
			return true
		}
	}
	return false
}

// noteRollout reports changes of a rollout.
func (s *State) noteRollout(r *wigeonrollout.Rollout) {
	note := rolloutNote{
		revision: r.Order().Revision, state: r.State(), stage: r.Stage(), condemned: r.Condemned(), badAnswers: r.BadAnswers(),
		othersEnded: r.HasEndedOthers(),
	}
	known, exists := s.rollouts.noted[r.Order().Service]
	if exists && known == note {
		return
	}
	s.rollouts.noted[r.Order().Service] = note
	s.rollouts.news++
	known.badAnswers, known.othersEnded = note.badAnswers, note.othersEnded
	if exists && known == note {
		return
	}
	s.emit(RolloutRecorded{
		Order: r.Order(), State: note.state, Stage: note.stage, Condemned: note.condemned, Age: r.Age(s.now), Totals: r.Totals(),
	})
}

// RolloutNews counts the changes of rollouts that other instances should learn of at once.
func (s *State) RolloutNews() uint64 { return s.rollouts.news }

// RolloutTask is what the store is to be told, or asked, of a rollout.
type RolloutTask struct {
	Order wigeonshift.RolloutOrder
	// IsAgeKnown is set once the time of the order is known.
	IsAgeKnown bool
	Age        time.Duration
	// Known is the state that the store holds, as far as known; Wanted the state that it should hold, for Reason.
	Known, Wanted wigeonshift.RolloutState
	Reason        string
	// Rank is the place of this instance among those that write the state. The first ones write it.
	Rank int
	// Leads is set for the instance of a group that reads the state for all, IsAlone for one that hears no other.
	Leads, IsAlone bool
}

// RolloutTasks returns a task for each order.
func (s *State) RolloutTasks(now time.Duration) []RolloutTask {
	s.advanceClock(now)
	var out []RolloutTask
	for _, service := range slices.Sorted(maps.Keys(s.rollouts.byService)) {
		r := s.rollouts.byService[service]
		wanted, reason := r.Decide(s.now)
		age := r.Age(s.now)
		out = append(out, RolloutTask{
			Order: r.Order(), IsAgeKnown: age > 0, Age: age, Known: r.State(), Wanted: wanted, Reason: reason, Rank: r.WriterRank(),
			IsAlone: !r.HasSibling(s.now, func(string) bool { return true }),
			Leads: !r.HasSibling(s.now, func(peer string) bool {
				return peer < s.settings.Instance && s.groups.SameGroup(peer, s.settings.Instance)
			}),
		})
	}
	return out
}
