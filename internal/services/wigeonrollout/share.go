package wigeonrollout

import (
	"time"

	"wigeonshift"
)

// stepEndpoints returns the number of target endpoints that get requests in the second stage.
func (r *Rollout) stepEndpoints() int {
	return max(int(stepShare*float64(r.capacity.TargetEndpoints)), 1)
}

// UsableEndpoints returns how many of the target version's endpoints of the group may get requests. They are few before the last
// stage, so that these run under the load that all will have.
func (r *Rollout) UsableEndpoints(now time.Duration) int {
	switch share := r.TargetShare(now); {
	case share >= 1:
		return r.capacity.TargetEndpoints
	case share == 0:
		return 0
	case r.stage == wigeonshift.RolloutStep:
		return r.stepEndpoints()
	default:
		return 1
	}
}

// TargetShare returns the share of requests that the target version may get: none before the rollout has
// started or once it is rolled back, and all once it is completed.
func (r *Rollout) TargetShare(now time.Duration) float64 {
	switch {
	case r.state == wigeonshift.RolloutCompleted:
		return 1
	case r.state == wigeonshift.RolloutRolledBack, r.condemned != "":
		return 0
	case r.isOnlyVersion():
		return 1
	case !r.isStarted:
		if r.capacity.OtherSlots == 0 {
			// The state isn't known yet, and no other version is left.
			return 1
		}
		return 0
	case !r.hasContact(now):
		return 0
	case r.stage == wigeonshift.RolloutFull:
		return 1
	case r.stage == wigeonshift.RolloutStep:
		return min(float64(r.stepEndpoints())/float64(max(r.capacity.TargetEndpoints, 1)), stepShare)
	default:
		return canaryShare * r.settings.ExposeShare
	}
}

// isOnlyVersion reports whether no version but the target could be used since the instance knows of the order, as far as it and
// those that have told it know. A share of the requests would stop the service then. A list that may lack endpoints proves nothing.
func (r *Rollout) isOnlyVersion() bool {
	return r.capacity.OtherSlots == 0 && r.capacity.TargetSlots > 0 && !r.hasSeenOthers && !r.capacity.IsPartial
}

// isSureOfOnlyVersion reports whether no instance knows of another version. Completed can't be undone, so that an instance which has
// learned of the order late waits until all others have said so lately, unless the time to write is up.
func (r *Rollout) isSureOfOnlyVersion(now time.Duration) bool {
	if !r.isOnlyVersion() {
		return false
	}
	if !r.isLate {
		return true
	}
	current := 1
	for _, p := range r.peers {
		if now-p.at <= maxReportAge {
			current++
		}
	}
	return current >= r.instances || r.Age(now) >= r.fraction(writeBy)
}

// MayUseOthers reports whether other versions than the target may get requests.
func (r *Rollout) MayUseOthers(now time.Duration) bool {
	if r.state == wigeonshift.RolloutCompleted {
		return false
	}
	return r.TargetShare(now) < 1
}

// MayUseTarget reports whether the target version may get the next request of this instance. Before the last stage it gets no
// more than the instance's own part of the budget, which holds over all instances without any message.
func (r *Rollout) MayUseTarget(now time.Duration) bool {
	share := r.TargetShare(now)
	if share >= 1 {
		return true
	}
	if share == 0 {
		return false
	}
	next := float64(r.sentToTarget + 1)
	share = min(share, budgetShare*r.settings.ExposeShare)
	bound := share*float64(r.sent+1) + r.offset
	if !r.hasNoSlack {
		bound += float64(r.slack)
	}
	return next <= bound
}

// Sent counts a request that this instance sends.
func (r *Rollout) Sent(toTarget bool) {
	r.sent++
	if toTarget {
		r.sentToTarget++
	}
}
