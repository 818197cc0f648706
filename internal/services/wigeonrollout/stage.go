package wigeonrollout

import (
	"time"

	"wigeonshift"
)

// stageAt returns the stage that is due at an age.
func (r *Rollout) stageAt(age time.Duration) wigeonshift.RolloutStage {
	switch {
	case age >= r.fullAt() && !r.evidence.isSuspicious(), age >= r.fraction(latestFull):
		return wigeonshift.RolloutFull
	case age >= r.fraction(stepAt):
		return wigeonshift.RolloutStep
	default:
		return wigeonshift.RolloutCanary
	}
}

// fullAt returns the age at which the last stage begins for a version that nothing speaks against. Instances begin one after the other, so
// that the first answers of that stage are known before the target version gets everything. It is the latest one while much of what this
// instance has sent to the target version may still turn out bad.
func (r *Rollout) fullAt() time.Duration {
	if float64(r.unobserved) > maxUnobserved*float64(r.evidence.ownTarget().answers) {
		return r.fraction(latestFull)
	}
	begins := r.fraction(writeBy) - r.endTime()
	return min(begins+time.Duration(r.offset*float64(r.fraction(fullRamp))), r.fraction(latestFull))
}

// endTime returns the time that the running requests of other versions are given to end.
func (r *Rollout) endTime() time.Duration {
	needed := time.Duration(endTimeFactor * float64(r.longestRun))
	return min(max(needed, r.fraction(minEndTime)), r.fraction(maxEndTime))
}

// fraction returns a share of the order's duration.
func (r *Rollout) fraction(share float64) time.Duration {
	return time.Duration(share * float64(r.order.Duration))
}

func (r *Rollout) hasContact(now time.Duration) bool {
	return now-r.contactAt <= time.Duration(contactShare*float64(r.settings.RollbackWithin))
}

func (r *Rollout) hasCapacity() bool {
	return r.capacity.TargetSlots > 0 && float64(r.capacity.TargetSlots) >= minCapacity*float64(r.capacity.OtherSlots)
}
