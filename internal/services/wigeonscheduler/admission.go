package wigeonscheduler

import (
	"math"
	"slices"
	"time"

	"wigeonshift"
)

// Bounds of the admission.
const (
	// noDeadline stands for the deadline of a request that names none.
	noDeadline = time.Hour
	// interactiveDeadline is the longest time to a deadline of requests that count as interactive.
	interactiveDeadline = 30 * time.Second
	// minRetryAfter is the least advice to a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the largest advice to a refused caller.
	maxRetryAfter = 60 * time.Second
	// answerGain is the weight of one finished answer in the expected length of answers.
	answerGain = 0.02
	// serviceMargin is the part of an average endpoint's service time that has to fit behind the queue: a queue that
	// leaves only time enough for the fastest endpoint would leave the slower ones idle.
	serviceMargin = 1.25
)

// permitRequested queues, grants or refuses a request.
func (s *Shard) permitRequested(b PermitRequested) {
	r := b.Request
	if j := s.jobs[r.ID]; j != nil {
		s.repeated(j, b)
		return
	}
	if s.closed.covers(&r) {
		return
	}
	j := &job{request: r, entry: b.Entry, arrived: s.now, deadline: r.Deadline}
	if j.deadline.IsZero() {
		j.deadline = s.now.Add(noDeadline)
	}
	if refusal := s.admit(j); refusal != nil {
		s.refuseNew(j, *refusal)
		return
	}
	s.queueNew(j)
	j.lane.blocked = j.lane.blocked && j.flow.jobs[0] != j
}

// queueNew adds an admitted request to the queue.
func (s *Shard) queueNew(j *job) {
	s.jobs[j.request.ID] = j
	s.noteDemand(j)
	s.enqueue(j)
}

// refuseNew refuses a request on arrival, unless work of lower tiers gives way to it or another shard takes it.
func (s *Shard) refuseNew(j *job, r wigeonshift.Refusal) {
	if capacityReason(r.Reason) && r.RetryAfter > 0 {
		if j.organisation != nil && s.granting() && s.lowerRuns(j.rank()) && !j.organisation.limited() {
			s.organisations[j.organisation.name] = j.organisation
			s.queueNew(j)
			if !j.lane.key.alone && s.makeRoom(j, candidate{}, true) {
				return
			}
			s.dequeue(j)
		}
		if s.spill(j) {
			s.forget(j)
			return
		}
	}
	s.forget(j)
	s.refuse(j, r)
}

// forget drops what an unqueued request left behind.
func (s *Shard) forget(j *job) {
	delete(s.jobs, j.request.ID)
	if j.organisation != nil {
		s.dropOrganisation(j.organisation)
	}
}

// repeated answers a repeat of a known request like the first time.
func (s *Shard) repeated(j *job, b PermitRequested) {
	if j.state != jobGranted || s.now.After(j.voidAt) {
		return
	}
	j.entry = b.Entry
	s.answer(j, wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: j.request.ID, Shard: s.id, Epoch: s.epoch, Endpoint: j.endpoint.name, Address: j.endpoint.spec.Address,
		Token: j.token, UseBefore: j.voidAt.Add(-s.settings.PermitGrace),
	}})
}

// admit decides whether a request may join the queue, and prepares its job.
func (s *Shard) admit(j *job) *wigeonshift.Refusal {
	r := &j.request
	if !j.deadline.After(s.now) {
		return s.refusal(wigeonshift.ReasonDeadlinePassed, 0)
	}
	if s.draining {
		return s.refusal(wigeonshift.ReasonShuttingDown, s.advise(minRetryAfter.Seconds()))
	}
	if refusal := s.admitFingerprint(j); refusal != nil {
		return refusal
	}
	if refusal := s.admitRetry(j); refusal != nil {
		return refusal
	}
	if !s.servedAtAll(r) {
		return s.refusal(wigeonshift.ReasonNoEndpoint, s.advise(s.settings.ProbeInterval.Seconds()))
	}
	j.fastest = s.fastest(j)
	if s.hopeless(j, j.fastest) {
		return s.refusal(wigeonshift.ReasonDeadline, 0)
	}
	j.work = s.slotSeconds(j)
	j.organisation = s.organisationOf(r.Organisation)
	if refusal := s.admitOrganisation(j); refusal != nil {
		return refusal
	}
	return s.admitQueue(j)
}

// capacityReason tells whether another shard of the pool might take what this one refuses.
func capacityReason(reason wigeonshift.RefusalReason) bool {
	return reason == wigeonshift.ReasonDeadline || reason == wigeonshift.ReasonQueueFull || reason == wigeonshift.ReasonNoEndpoint
}

// servedAtAll tells whether any endpoint may ever take the request.
func (s *Shard) servedAtAll(r *wigeonshift.PermitRequest) bool {
	for _, e := range s.ordered {
		if e.open() && e.serves(r.Model) && !slices.Contains(r.Avoid, e.name) {
			return true
		}
	}
	return s.loading(r.Model)
}

// admitQueue refuses a request whose deadline the queue before it leaves out of reach.
func (s *Shard) admitQueue(j *job) *wigeonshift.Refusal {
	if !s.granting() {
		// Lower tiers can't give way yet; the queue is judged when they can.
		return nil
	}
	if j.organisation.limited() {
		if wait := max(s.expectedWait(j), j.organisation.ownWait()); wait+j.fastest > s.remaining(j) {
			return s.refusal(wigeonshift.ReasonOrganisationCap, s.advise(wait))
		}
		return nil
	}
	wait := s.expectedWait(j)
	if wait == 0 {
		return nil
	}
	if wait+math.Max(j.fastest, serviceMargin*j.work) > s.remaining(j) || wait > s.settings.MaxQueueSeconds {
		reason := wigeonshift.ReasonDeadline
		if wait > s.settings.MaxQueueSeconds {
			reason = wigeonshift.ReasonQueueFull
		}
		return s.refusal(reason, s.advise(wait))
	}
	if s.interactive(j) && wait > s.settings.FirstTokenTarget.Seconds() {
		return s.refusal(wigeonshift.ReasonQueueFull, s.advise(wait))
	}
	return nil
}

// expectedWait is the time in seconds until the work queued at the same or a higher tier has started. Lower tiers
// give way and do not count.
func (s *Shard) expectedWait(j *job) float64 {
	work, prefill := 0.0, 0.0
	for _, t := range s.tiers {
		if t.rank > j.rank() {
			break
		}
		work += t.work
		prefill += t.prefill
	}
	if work == 0 {
		return 0
	}
	slots, rate := 0, 0.0
	for _, e := range s.ordered {
		if e.open() && e.serves(j.request.Model) {
			slots += e.limit()
			rate += e.speed.rate()
		}
	}
	if slots == 0 {
		return 0
	}
	return math.Max(work/float64(slots), prefill/rate)
}

// fastest is the expected time in seconds in which the best endpoint, if idle, would answer.
func (s *Shard) fastest(j *job) float64 {
	best := math.Inf(1)
	longest := s.lookupPrefix(j)
	tokens := s.expectedTokens(j)
	for _, e := range s.ordered {
		if !e.open() || !e.serves(j.request.Model) {
			continue
		}
		cached := 0
		if longest > 0 && e.index < len(s.lengths) {
			cached = min(s.lengths[e.index], longest)
		}
		t := defaultOverhead + float64(j.request.PromptTokens-cached)/e.speed.rate() + tokens*e.speed.pace()
		best = math.Min(best, t)
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

// slotSeconds is the time in seconds for which a job is expected to hold a slot of an average endpoint.
func (s *Shard) slotSeconds(j *job) float64 {
	seconds, n := 0.0, 0
	for _, e := range s.ordered {
		if e.open() && e.serves(j.request.Model) {
			seconds += float64(j.request.PromptTokens)/e.speed.rate() + s.expectedTokens(j)*e.speed.pace()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return seconds / float64(n)
}

// expectedTokens is the expected length of a job's answer.
func (s *Shard) expectedTokens(j *job) float64 {
	return float64(j.request.MaxTokens) * s.answers.share()
}

// tokensPerAnswer is the average length of answers.
func (s *Shard) tokensPerAnswer() float64 {
	return s.answers.mean
}

// answerLengths learns how long answers are against their bound.
type answerLengths struct {
	ratio float64
	mean  float64
	count int
}

// share is the expected part of its MaxTokens that an answer uses.
func (a *answerLengths) share() float64 {
	if a.count == 0 {
		return 1
	}
	return a.ratio
}

// observe learns from a finished answer.
func (a *answerLengths) observe(tokens, bound int) {
	if tokens <= 0 || bound <= 0 {
		return
	}
	gain := math.Max(answerGain, 1/float64(a.count+2))
	a.count++
	if a.count == 1 {
		a.ratio, a.mean = 1, float64(tokens)
	}
	a.ratio += gain * (math.Min(1, float64(tokens)/float64(bound)) - a.ratio)
	a.mean += gain * (float64(tokens) - a.mean)
}

// interactive tells whether a caller waits for the first token: a short prompt with a near deadline.
func (s *Shard) interactive(j *job) bool {
	return j.request.Model != "" && !s.long(j.request.PromptTokens) && j.deadline.Sub(j.arrived) <= interactiveDeadline
}

// advise returns jittered advice when to come back, from an expected wait in seconds.
func (s *Shard) advise(seconds float64) time.Duration {
	d := time.Duration(seconds * s.jitter() * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// refusal makes a refusal of a request that did not run.
func (s *Shard) refusal(reason wigeonshift.RefusalReason, after time.Duration) *wigeonshift.Refusal {
	return &wigeonshift.Refusal{Reason: reason, State: wigeonshift.NotRun, RetryAfter: after}
}

// refuse answers a request finally and remembers it against duplicates.
func (s *Shard) refuse(j *job, r wigeonshift.Refusal) {
	s.closed.add(&j.request)
	delete(s.jobs, j.request.ID)
	s.answer(j, wigeonshift.PermitAnswer{Refuse: &r})
	s.count("refusals", string(r.Reason))
}

// hopeless tells whether a job could not be on time even at the best endpoint if idle; another try with the same
// deadline would fare no better.
func (s *Shard) hopeless(j *job, fastest float64) bool {
	return fastest > j.deadline.Sub(j.arrived).Seconds()*deadlineMargin
}

// refuseQueued takes a job out of the queue and refuses it.
func (s *Shard) refuseQueued(j *job, reason wigeonshift.RefusalReason) {
	wait := s.expectedWait(j)
	s.dequeue(j)
	s.dropOrganisation(j.organisation)
	after := time.Duration(0)
	if reason != wigeonshift.ReasonDeadlinePassed && !s.hopeless(j, j.fastest) {
		after = s.advise(wait)
	}
	s.refuse(j, *s.refusal(reason, after))
}

// laneKeyOf returns the lane of a job.
func (s *Shard) laneKeyOf(j *job) laneKey {
	longest := s.lookupPrefix(j)
	return laneKey{model: j.request.Model, long: s.long(j.request.PromptTokens - longest), alone: s.suspects.suspect(j.request.Fingerprint)}
}

// admitOrganisation refuses a request over its organisation's limits.
func (s *Shard) admitOrganisation(j *job) *wigeonshift.Refusal {
	wait := s.tokenWait(j)
	if wait > 0 {
		return s.refusal(wigeonshift.ReasonOrganisationCap, s.advise(wait))
	}
	return nil
}
