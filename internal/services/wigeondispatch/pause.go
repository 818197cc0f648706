package wigeondispatch

import (
	"time"

	"wigeonshift/internal/services/wigeonpace"
)

// recordGapTarget remembers the target for pauses of a request's route. The tightest one of all routes applies to the service's
// endpoints, because the routes of the streams of other instances aren't known.
func (p *pool) recordGapTarget(j *Job) {
	if j.EventGapTarget <= 0 || p.gapTargets[j.Route] == j.EventGapTarget {
		return
	}
	if p.gapTargets == nil {
		p.gapTargets = map[string]time.Duration{}
	}
	p.gapTargets[j.Route] = j.EventGapTarget
	p.updateGapTarget()
}

// updateGapTarget sets the tightest target for pauses of all routes.
func (p *pool) updateGapTarget() {
	p.gapTarget = 0
	for _, target := range p.gapTargets {
		if p.gapTarget == 0 || target < p.gapTarget {
			p.gapTarget = target
		}
	}
}

// pace returns the pace of a model engine.
func (e *endpoint) pace() wigeonpace.Pace {
	return wigeonpace.Pace{Step: e.decodeStep, Token: e.prefill, EventTokens: e.pool.eventTokens()}
}

// impact returns what a request costs the others on an endpoint. It is zero for a request without tokens and for a service whose routes
// have no target for pauses.
func (s *State) impact(e *endpoint, j *Job) wigeonpace.Impact {
	if !j.HasTokens || e.pool.gapTarget <= 0 {
		return wigeonpace.Impact{}
	}
	load := wigeonpace.Load{Requests: e.running(), PendingTokens: e.ownLoad.prefill + e.peerLoad.prefill}
	return e.pace().Impact(load, j.PromptTokens-s.keptTokens(e, j), wigeonpace.Target{
		Pause: e.pool.gapTarget, LateCost: j.LatencyObjective,
	})
}

// shouldAwaitPrefill reports whether a request should wait until an endpoint has prefilled pending prompts, because it would pause the
// streams there for too long, and can still be on time if it starts later. A request that failed over doesn't wait, because its caller
// may already have a part of the answer.
func (s *State) shouldAwaitPrefill(j *Job, est estimate) bool {
	return est.impact.ExceedsTarget && !j.failedOver && s.now < j.latestStart(est.firstEvent)
}
