package wigeonscheduler

import (
	"math"
	"slices"
	"time"

	"wigeonshift"
)

// Admission limits.
const (
	// noDeadline is the deadline assumed for a request without one, counted from its arrival.
	noDeadline = time.Hour
	// interactiveDeadline is the longest deadline, counted from arrival, of a request that counts as interactive.
	interactiveDeadline = 30 * time.Second
	// minRetryAfter is the lower bound of the Retry-After delay sent with a refusal.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the upper bound of the Retry-After delay sent with a refusal.
	maxRetryAfter = 60 * time.Second
	// minAnswerSampleWeight is the smallest weight of one finished answer in the moving average of answer lengths.
	minAnswerSampleWeight = 0.02
	// meanServiceFactor multiplies the mean service time over all endpoints. The product must fit into the time left
	// after the expected wait: a queue that leaves time for the fastest endpoint only would leave the slower ones idle.
	meanServiceFactor = 1.25
)

// handlePermitRequested grants, queues or refuses a request for a permit (the permission to run on an endpoint), or
// passes it to another shard. A repeat of a request with a valid permit gets that permit again, and a late duplicate of
// a closed request is ignored. A blocked lane (a queue of which no job could be placed) is tried again only if the new
// job is the first of its organisation there.
func (s *Shard) handlePermitRequested(b PermitRequested) {
	r := b.Request
	if j := s.jobs[r.ID]; j != nil {
		s.resendGrant(j, b)
		return
	}
	if s.closed.contains(&r) {
		return
	}
	j := &job{request: r, entry: b.Entry, arrivedAt: s.now, deadline: r.Deadline}
	if j.deadline.IsZero() {
		j.deadline = s.now.Add(noDeadline)
	}
	if refusal := s.admit(j); refusal != nil {
		s.refuseOnArrival(j, *refusal)
		return
	}
	s.addToQueue(j)
	j.lane.blocked = j.lane.blocked && j.flow.jobs[0] != j
}

// addToQueue records an admitted request and enqueues it. Its work counts in the demand for its model, which decides
// whether an endpoint has to load that model.
func (s *Shard) addToQueue(j *job) {
	s.jobs[j.request.ID] = j
	s.recordDemand(j)
	s.enqueue(j)
}

// refuseOnArrival refuses a request that was not admitted. If the reason is a lack of capacity, it first tries to
// preempt lower tiers and then to pass the request to another shard. A refusal without a retry delay is final, because
// the request would be late even on an idle endpoint.
func (s *Shard) refuseOnArrival(j *job, r wigeonshift.Refusal) {
	if isCapacityReason(r.Reason) && r.RetryAfter > 0 {
		if j.organisation != nil && s.canGrant() && s.runsLowerTier(j.rank()) && !j.organisation.atLimit() {
			s.organisations[j.organisation.name] = j.organisation
			s.addToQueue(j)
			if !j.lane.key.runsAlone && s.tryPreempt(j, candidate{}, true) {
				return
			}
			s.dequeue(j)
		}
		if s.spill(j) {
			s.discardUnqueued(j)
			return
		}
	}
	s.discardUnqueued(j)
	s.refuse(j, r)
}

// discardUnqueued removes the records of a request that is not in the queue.
func (s *Shard) discardUnqueued(j *job) {
	delete(s.jobs, j.request.ID)
	if j.organisation != nil {
		s.dropIdleOrganisation(j.organisation)
	}
}

// resendGrant sends the same permit again when an entry (the instance that accepted the request) repeats a request
// whose permit is granted and still valid. The repeat therefore takes no second slot.
func (s *Shard) resendGrant(j *job, b PermitRequested) {
	if j.state != jobGranted || s.now.After(j.grantExpiresAt) {
		return
	}
	j.entry = b.Entry
	s.sendPermitAnswer(j, wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: j.request.ID, Shard: s.id, Epoch: s.epoch, Endpoint: j.endpoint.name, Address: j.endpoint.spec.Address,
		Token: j.token, ExpiresAt: j.grantExpiresAt.Add(-s.settings.PermitGrace),
	}})
}

// admit decides whether a request may join the queue and fills in the estimates of its job. It returns nil or the
// refusal. A refusal has no retry delay if a retry with the same deadline and content would be refused again.
func (s *Shard) admit(j *job) *wigeonshift.Refusal {
	r := &j.request
	if !j.deadline.After(s.now) {
		return s.refusal(wigeonshift.ReasonDeadlinePassed, 0)
	}
	if s.draining {
		return s.refusal(wigeonshift.ReasonShuttingDown, s.retryAfter(minRetryAfter.Seconds()))
	}
	if refusal := s.admitFingerprint(j); refusal != nil {
		return refusal
	}
	if refusal := s.admitRetry(j); refusal != nil {
		return refusal
	}
	if !s.hasPossibleEndpoint(r) {
		return s.refusal(wigeonshift.ReasonNoEndpoint, s.retryAfter(s.settings.ProbeInterval.Seconds()))
	}
	j.fastestSeconds = s.fastestSeconds(j)
	if s.deadlineUnreachable(j, j.fastestSeconds) {
		return s.refusal(wigeonshift.ReasonDeadlineUnreachable, 0)
	}
	j.workSeconds = s.slotSeconds(j)
	j.organisation = s.organisationOf(r.Organisation)
	if refusal := s.admitOrganisation(j); refusal != nil {
		return refusal
	}
	return s.admitQueue(j)
}

// isCapacityReason reports whether another shard of the pool might accept a request refused for this reason.
func isCapacityReason(reason wigeonshift.RefusalReason) bool {
	return reason == wigeonshift.ReasonDeadlineUnreachable || reason == wigeonshift.ReasonQueueFull || reason == wigeonshift.ReasonNoEndpoint
}

// hasPossibleEndpoint reports whether an endpoint serves the request, or is being loaded with its model, so that the
// request may wait for it in the queue.
func (s *Shard) hasPossibleEndpoint(r *wigeonshift.PermitRequest) bool {
	for _, e := range s.sortedEndpoints {
		if e.acceptsWork() && e.serves(r.Model) && !slices.Contains(r.Avoid, e.name) {
			return true
		}
	}
	return s.isLoading(r.Model)
}

// admitQueue refuses a request that would wait too long behind the queued work: beyond its deadline, MaxQueueSeconds
// or, for an interactive request, the first-token target. The time left must fit an average endpoint and not only the
// fastest one, because the slower ones would idle otherwise. If its organisation is at the concurrency limit, the
// organisation's own queue counts too.
func (s *Shard) admitQueue(j *job) *wigeonshift.Refusal {
	if !s.canGrant() {
		// Lower tiers cannot be preempted yet. The queue is checked once the shard may grant.
		return nil
	}
	if j.organisation.atLimit() {
		if wait := max(s.expectedWaitSeconds(j), j.organisation.ownWaitSeconds()); wait+j.fastestSeconds > s.remainingSeconds(j) {
			return s.refusal(wigeonshift.ReasonOrganisationLimit, s.retryAfter(wait))
		}
		return nil
	}
	wait := s.expectedWaitSeconds(j)
	if wait == 0 {
		return nil
	}
	if wait+math.Max(j.fastestSeconds, meanServiceFactor*j.workSeconds) > s.remainingSeconds(j) || wait > s.settings.MaxQueueSeconds {
		reason := wigeonshift.ReasonDeadlineUnreachable
		if wait > s.settings.MaxQueueSeconds {
			reason = wigeonshift.ReasonQueueFull
		}
		return s.refusal(reason, s.retryAfter(wait))
	}
	if s.interactive(j) && wait > s.settings.FirstTokenTarget.Seconds() {
		return s.refusal(wigeonshift.ReasonQueueFull, s.retryAfter(wait))
	}
	return nil
}

// expectedWaitSeconds is the time until the work queued at the same and higher tiers has started. Lower tiers do not
// count because they are preempted. Slots and prefill can each be the bottleneck, so the longer of both times counts.
func (s *Shard) expectedWaitSeconds(j *job) float64 {
	work, prefill := 0.0, 0.0
	for _, t := range s.tiers {
		if t.rank > j.rank() {
			break
		}
		work += t.workSeconds
		prefill += t.prefillTokens
	}
	if work == 0 {
		return 0
	}
	slots, rate := 0, 0.0
	for _, e := range s.sortedEndpoints {
		if e.acceptsWork() && e.serves(j.request.Model) {
			slots += e.concurrencyLimit()
			rate += e.speed.expectedPrefillRate()
		}
	}
	if slots == 0 {
		return 0
	}
	return math.Max(work/float64(slots), prefill/rate)
}

// fastestSeconds is the expected service time on the fastest endpoint if it were idle, 0 if none serves the request. A
// job with less time than this before its deadline cannot be served in time anywhere.
func (s *Shard) fastestSeconds(j *job) float64 {
	best := math.Inf(1)
	longest := s.lookupPrefix(j)
	tokens := s.expectedTokens(j)
	for _, e := range s.sortedEndpoints {
		if !e.acceptsWork() || !e.serves(j.request.Model) {
			continue
		}
		cached := 0
		if longest > 0 && e.index < len(s.prefixLengths) {
			cached = min(s.prefixLengths[e.index], longest)
		}
		t := defaultOverheadSeconds + float64(j.request.PromptTokens-cached)/e.speed.expectedPrefillRate() + tokens*e.speed.expectedSecondsPerToken()
		best = math.Min(best, t)
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// slotSeconds is the expected time for which a job holds a slot. It is the average over the endpoints that serve the
// job, because the queue counts the work before an endpoint is chosen.
func (s *Shard) slotSeconds(j *job) float64 {
	seconds, n := 0.0, 0
	for _, e := range s.sortedEndpoints {
		if e.acceptsWork() && e.serves(j.request.Model) {
			seconds += float64(j.request.PromptTokens)/e.speed.expectedPrefillRate() + s.expectedTokens(j)*e.speed.expectedSecondsPerToken()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return seconds / float64(n)
}

// expectedTokens is the expected length of a job's answer in tokens.
func (s *Shard) expectedTokens(j *job) float64 {
	return float64(j.request.MaxTokens) * s.answerLengths.lengthRatio()
}

// meanAnswerTokens is the average length of finished answers in tokens.
func (s *Shard) meanAnswerTokens() float64 {
	return s.answerLengths.meanTokens
}

// answerLengths keeps moving averages of the length of finished answers and of its ratio to MaxTokens.
type answerLengths struct {
	meanLengthRatio float64
	meanTokens      float64
	samples         int
}

// lengthRatio is the expected ratio of an answer's length to its MaxTokens.
func (a *answerLengths) lengthRatio() float64 {
	if a.samples == 0 {
		return 1
	}
	return a.meanLengthRatio
}

// observe adds a finished answer with its length and its MaxTokens, because estimates for later requests use the usual
// part of MaxTokens. The first sample starts from the whole of MaxTokens, and later samples weigh less, down to
// minAnswerSampleWeight.
func (a *answerLengths) observe(tokens, maxTokens int) {
	if tokens <= 0 || maxTokens <= 0 {
		return
	}
	weight := math.Max(minAnswerSampleWeight, 1/float64(a.samples+2))
	a.samples++
	if a.samples == 1 {
		a.meanLengthRatio, a.meanTokens = 1, float64(tokens)
	}
	a.meanLengthRatio += weight * (math.Min(1, float64(tokens)/float64(maxTokens)) - a.meanLengthRatio)
	a.meanTokens += weight * (float64(tokens) - a.meanTokens)
}

// interactive reports whether a user is assumed to wait for the first token: a short prompt with a near deadline.
func (s *Shard) interactive(j *job) bool {
	return j.request.Model != "" && !s.isLongPrefill(j.request.PromptTokens) && j.deadline.Sub(j.arrivedAt) <= interactiveDeadline
}

// retryAfter converts an expected wait in seconds into a Retry-After delay, with jitter and within the bounds.
func (s *Shard) retryAfter(seconds float64) time.Duration {
	d := time.Duration(seconds * s.jitter() * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// refusal returns a refusal that says that the request did not run.
func (s *Shard) refusal(reason wigeonshift.RefusalReason, after time.Duration) *wigeonshift.Refusal {
	return &wigeonshift.Refusal{Reason: reason, State: wigeonshift.NotRun, RetryAfter: after}
}

// refuse sends the refusal to the entry and remembers the request so that late duplicates are ignored.
func (s *Shard) refuse(j *job, r wigeonshift.Refusal) {
	s.closed.add(&j.request)
	delete(s.jobs, j.request.ID)
	s.sendPermitAnswer(j, wigeonshift.PermitAnswer{Refuse: &r})
	s.count("refusals", string(r.Reason))
}

// deadlineUnreachable reports whether a job would miss its deadline even on the fastest endpoint if idle. A retry with
// the same deadline would fail in the same way.
func (s *Shard) deadlineUnreachable(j *job, fastest float64) bool {
	return fastest > j.deadline.Sub(j.arrivedAt).Seconds()*deadlineShare
}

// refuseQueued removes a job from the queue and refuses it. It advises a retry only if the deadline has not passed and
// an idle endpoint could meet it, because a retry would fail in the same way otherwise.
func (s *Shard) refuseQueued(j *job, reason wigeonshift.RefusalReason) {
	wait := s.expectedWaitSeconds(j)
	s.dequeue(j)
	s.dropIdleOrganisation(j.organisation)
	after := time.Duration(0)
	if reason != wigeonshift.ReasonDeadlinePassed && !s.deadlineUnreachable(j, j.fastestSeconds) {
		after = s.retryAfter(wait)
	}
	s.refuse(j, *s.refusal(reason, after))
}

// laneKeyOf returns the key of the lane that a job belongs to.
func (s *Shard) laneKeyOf(j *job) laneKey {
	longest := s.lookupPrefix(j)
	return laneKey{model: j.request.Model, longPrompt: s.isLongPrefill(j.request.PromptTokens - longest), runsAlone: s.suspects.Suspected(j.request.Fingerprint)}
}

// admitOrganisation refuses a request that exceeds its organisation's token rate, with the time until the rate allows
// another one as the retry delay.
func (s *Shard) admitOrganisation(j *job) *wigeonshift.Refusal {
	wait := s.chargeTokens(j)
	if wait > 0 {
		return s.refusal(wigeonshift.ReasonOrganisationLimit, s.retryAfter(wait))
	}
	return nil
}
