package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// verdict is the result of an attempt to place a queued job.
type verdict uint8

const (
	// placed means that the job was granted or left the queue with another final answer.
	placed verdict = iota
	// held means that this job has to wait, but other jobs of its lane might be placed.
	held
	// full means that no job of the lane can be placed now.
	full
)

// Weights and limits for placement.
const (
	// wastePenaltyFactor is the number of seconds of delay that one second of repeated prefill counts as.
	wastePenaltyFactor = 100
	// A placement is comfortable when it uses at most comfortableFinishShare of the time to the deadline and
	// comfortableFirstTokenShare of the first-token budget. Comfortable placements minimise repeated prefill, not
	// delay.
	comfortableFinishShare     = 0.85
	comfortableFirstTokenShare = 0.7
	// prefixWaitTimeShare is the share of the time left that the wait for a cached prefix and the run may take
	// together.
	prefixWaitTimeShare = 0.8
	// maxPrefixWaitFactor is the longest wait for a cached prefix, in seconds for each second of prefill saved.
	maxPrefixWaitFactor = 20.0
	// nonInteractiveWaitShare is the share of its total time that a non-interactive job may wait for a cached prefix.
	nonInteractiveWaitShare = 0.05
	// evictionHalfAgeSeconds is the age of the least recently used cache block at which the tokens that a new prefix
	// evicts from a full cache count half.
	evictionHalfAgeSeconds = 30.0
	// wasteStepTokens is the step in which the repeated prefill of candidates is compared; smaller differences are
	// ignored.
	wasteStepTokens = 128
	// urgentSeconds is the time before its latest possible start from which a job may start beside long prefills.
	urgentSeconds = 0.5
	// deadlineShare is the share of the time to the deadline that a placement may use.
	deadlineShare = 0.95
)

// candidate is one endpoint considered for a job.
type candidate struct {
	endpoint *endpoint
	// cachedTokens and uncachedTokens are the prompt tokens predicted to be in the cache and those to be computed.
	cachedTokens, uncachedTokens int
	// firstTokenSeconds and finishSeconds are the expected times from now to the first and the last token.
	firstTokenSeconds, finishSeconds float64
	// score orders candidates; the lowest is best.
	score float64
	// wastedTokens counts the prompt tokens to compute that another endpoint has cached, and those evicted by the job.
	wastedTokens int
	// inTime is set when both times are within the job's limits, comfortable when there is time to spare.
	inTime, comfortable bool
}

// place grants a queued job if an endpoint can take it now, and may preempt lower tiers for it.
func (s *Shard) place(j *job) verdict {
	if j.lane.key.alone {
		return s.placeAlone(j)
	}
	open, waiting := s.bestCandidates(j)
	switch {
	case open.endpoint != nil && open.inTime && s.shouldWaitForPrefix(j, open, waiting):
		return held
	case open.endpoint != nil && open.inTime:
		s.grant(j, open)
		return placed
	case s.tryPreempt(j, waiting, false):
		return placed
	case open.endpoint != nil && !waiting.inTime:
		return s.placeLate(j, open)
	case open.endpoint != nil || waiting.endpoint == nil || waiting.endpoint.freeSlots() > 0 || s.runsLowerTier(j.rank()):
		return held
	default:
		return full
	}
}

// placeLate handles a job that no endpoint is expected to serve in time. If only the first token is late, the job is
// granted. Otherwise it is refused unless lower tiers can be preempted for it.
func (s *Shard) placeLate(j *job, c candidate) verdict {
	if c.finishSeconds <= s.remaining(j) {
		s.grant(j, c)
		return placed
	}
	if !s.forcePreempt(j) {
		s.refuseQueued(j, wigeonshift.ReasonDeadline)
	}
	return placed
}

// bestCandidates returns the best endpoint that can take the job now and the best of those that are busy.
func (s *Shard) bestCandidates(j *job) (open, waiting candidate) {
	o := s.outlookOf(j)
	urgent, known := false, false
	for _, e := range s.ordered {
		if !o.mayTake(j, e) || e.reserved != nil {
			continue
		}
		c := s.estimate(j, e, &o)
		if !known && e.freeSlots() > 0 && (e.pendingLongPrefills > 0 || s.isLongPrefill(c.uncachedTokens)) {
			urgent, known = s.mustStartNow(j), true
		}
		if e.freeSlots() > 0 && s.canStart(j, c, urgent) {
			open = better(open, c)
		} else if e.health == healthUp {
			waiting = better(waiting, c)
		}
	}
	return open, waiting
}

// outlook holds what is the same for all endpoints considered for a job, so that it is computed once.
type outlook struct {
	// longestPrefixTokens is the longest prefix of the prompt that any endpoint has cached.
	longestPrefixTokens int
	// answerTokens is the expected length of the answer.
	answerTokens float64
	// remainingSeconds and firstTokenBudgetSeconds are the times left until the deadline and for the first token.
	remainingSeconds, firstTokenBudgetSeconds float64
	// flight counts the attempts in flight with the job's fingerprint, nil for none.
	flight *flight
}

// outlookOf returns a job's outlook and updates s.prefixLengths for the job.
func (s *Shard) outlookOf(j *job) outlook {
	return outlook{
		longestPrefixTokens:     s.lookupPrefix(j),
		answerTokens:            s.expectedTokens(j),
		remainingSeconds:        s.remaining(j),
		firstTokenBudgetSeconds: s.firstTokenBudgetSeconds(j),
		flight:                  s.suspects.flights[j.request.Fingerprint],
	}
}

// mayTake reports whether an endpoint may serve a job at all, whether or not it has a free slot.
func (o *outlook) mayTake(j *job, e *endpoint) bool {
	return e.acceptsWork() && e.serves(j.request.Model) && !slices.Contains(j.request.Avoid, e.name) && o.flight.permits(e)
}

// mayTake reports whether an endpoint may serve a job at all, whether or not it has a free slot.
func (s *Shard) mayTake(j *job, e *endpoint) bool {
	o := outlook{flight: s.suspects.flights[j.request.Fingerprint]}
	return o.mayTake(j, e)
}

// better returns the preferred candidate. An endpoint in time goes before one that is late, then a comfortable one
// before others; among comfortable ones the least repeated prefill wins, and then the lowest score.
func better(a, b candidate) candidate {
	if a.endpoint == nil || b.preferredTo(&a) {
		return b
	}
	return a
}

// preferredTo reports whether a candidate is preferred to another.
func (c *candidate) preferredTo(o *candidate) bool {
	switch {
	case c.inTime != o.inTime:
		return c.inTime
	case c.comfortable != o.comfortable:
		return c.comfortable
	case c.comfortable && c.wastedTokens/wasteStepTokens != o.wastedTokens/wasteStepTokens:
		return c.wastedTokens < o.wastedTokens
	default:
		return c.score < o.score
	}
}

// lookupPrefix sets s.prefixLengths to the cached prefix length of the job at each endpoint and returns the longest.
func (s *Shard) lookupPrefix(j *job) int {
	if len(s.prefixLengths) < len(s.ordered) {
		s.prefixLengths = make([]int, len(s.ordered)+8)
	}
	if len(j.request.Prefix) == 0 {
		clear(s.prefixLengths)
		return 0
	}
	return min(s.prefixes.lookup(j.request.Prefix, s.prefixLengths), j.request.PromptTokens-1)
}

// estimate predicts the times and the repeated prefill of a job on an endpoint. It reads s.prefixLengths.
func (s *Shard) estimate(j *job, e *endpoint, o *outlook) candidate {
	cached := 0
	if e.index < len(s.prefixLengths) {
		cached = min(s.prefixLengths[e.index], j.request.PromptTokens-1)
	}
	trusted := int(float64(cached) * e.cache.trust)
	uncached := j.request.PromptTokens - trusted
	rate := e.speed.rate()
	c := candidate{endpoint: e, cachedTokens: cached, uncachedTokens: uncached}
	c.firstTokenSeconds = defaultOverhead + float64(e.pendingPrefill+uncached)/rate
	c.finishSeconds = c.firstTokenSeconds + o.answerTokens*e.speed.pace()
	c.wastedTokens = max(0, o.longestPrefixTokens-cached) + s.evictedTokens(e, uncached)
	c.score = c.finishSeconds + wastePenaltyFactor*float64(c.wastedTokens)/rate
	c.inTime = c.finishSeconds <= o.remainingSeconds*deadlineShare && c.firstTokenSeconds <= o.firstTokenBudgetSeconds
	c.comfortable = c.finishSeconds <= o.remainingSeconds*comfortableFinishShare && c.firstTokenSeconds <= o.firstTokenBudgetSeconds*comfortableFirstTokenShare
	return c
}

// evictedTokens is the expected number of tokens to be computed again because new ones evict them from the cache.
func (s *Shard) evictedTokens(e *endpoint, tokens int) int {
	c := e.cache
	blocks := tokens / wigeonshift.PrefixBlockTokens
	over := min(blocks, len(c.places)+blocks-c.limit)
	if over <= 0 {
		return 0
	}
	age := s.now.Sub(c.oldest()).Seconds()
	return int(float64(over*wigeonshift.PrefixBlockTokens) / (1 + age/evictionHalfAgeSeconds))
}

// canStart reports whether a job may start on an endpoint with a free slot. Long prefills are kept apart from each
// other and from short prompts. A straggler gets only probes while a faster endpoint is available.
func (s *Shard) canStart(j *job, c candidate, urgent bool) bool {
	e := c.endpoint
	if e.health == healthStraggler && !s.lastResort(j) {
		return s.admitsProbe(j, e)
	}
	if e.pendingPrefill == 0 && !s.isLongPrefill(c.uncachedTokens) {
		return true
	}
	if urgent || s.mustStartOn(j, &c) {
		return true
	}
	if s.isLongPrefill(c.uncachedTokens) {
		return e.pendingLongPrefills == 0 && s.leavesShortPromptEndpoints(j, e)
	}
	return e.pendingLongPrefills == 0
}

// leavesShortPromptEndpoints reports whether enough endpoints remain without a long prefill if one starts on e.
func (s *Shard) leavesShortPromptEndpoints(j *job, e *endpoint) bool {
	serving, without := 0, 0
	for _, o := range s.ordered {
		if !o.acceptsWork() || o.health != healthUp || !o.serves(j.request.Model) {
			continue
		}
		serving++
		if o != e && o.pendingLongPrefills == 0 {
			without++
		}
	}
	if serving <= 1 {
		return true
	}
	return without >= max(1, serving/shortPromptEndpointDivisor)
}

// shortPromptEndpointDivisor sets the share of endpoints kept free of long prefills: one in this many.
const shortPromptEndpointDivisor = 4

// shouldWaitForPrefix reports whether the job should wait for a busy endpoint that has more of its prefix cached.
func (s *Shard) shouldWaitForPrefix(j *job, open, waiting candidate) bool {
	if waiting.endpoint == nil || waiting.wastedTokens >= open.wastedTokens {
		return false
	}
	saved := float64(open.wastedTokens-waiting.wastedTokens) / open.endpoint.speed.rate()
	wait := s.expectedReleaseSeconds(waiting.endpoint)
	waited := s.now.Sub(j.arrivedAt).Seconds()
	maxWaitSeconds := maxPrefixWaitFactor * saved
	if !s.interactive(j) {
		maxWaitSeconds = max(maxWaitSeconds, nonInteractiveWaitShare*(s.remaining(j)+waited))
	}
	return wait+waited < maxWaitSeconds && wait+waiting.finishSeconds < s.remaining(j)*prefixWaitTimeShare && wait+waiting.firstTokenSeconds < s.firstTokenBudgetSeconds(j)*prefixWaitTimeShare
}

// expectedReleaseSeconds is the expected time until an endpoint can take another job.
func (s *Shard) expectedReleaseSeconds(e *endpoint) float64 {
	wait := float64(e.pendingPrefill) / e.speed.rate()
	if e.freeSlots() <= 0 {
		wait += s.tokensPerAnswer() * e.speed.pace() / float64(e.concurrencyLimit())
	}
	return wait
}

// remaining is the time to a job's deadline in seconds.
func (s *Shard) remaining(j *job) float64 {
	return j.deadline.Sub(s.now).Seconds()
}

// firstTokenBudgetSeconds is the time left for a job's first token. Only interactive jobs have a limit. It counts from
// the time when the shard may grant, because before that a job can neither start nor preempt a lower tier.
func (s *Shard) firstTokenBudgetSeconds(j *job) float64 {
	if !s.interactive(j) || s.epoch == 0 {
		return s.remaining(j)
	}
	since := j.arrivedAt
	if s.rebuildUntil.After(since) {
		since = s.rebuildUntil
	}
	return s.settings.FirstTokenTarget.Seconds() - s.now.Sub(since).Seconds()
}

// mustStartOn reports whether a job has to start now on an endpoint to meet its deadline there.
func (s *Shard) mustStartOn(j *job, c *candidate) bool {
	return c.inTime && s.remaining(j)*deadlineShare-c.finishSeconds < urgentSeconds
}

// mustStartNow reports whether a job would miss its deadline on every endpoint unless it starts now. Such a job may
// start beside long prefills.
func (s *Shard) mustStartNow(j *job) bool {
	fastest := s.fastestSeconds(j)
	return s.remaining(j)*deadlineShare-fastest < urgentSeconds
}

// grant gives a job a permit for an endpoint and removes it from the queue.
func (s *Shard) grant(j *job, c candidate) {
	e := c.endpoint
	if j.flow != nil {
		j.flow.deficitTokens -= j.cost()
		s.dequeue(j)
	}
	j.state, j.token, j.granted = jobGranted, s.nextToken(), s.now
	useBefore := s.now.Add(s.settings.PermitLifetime)
	if j.deadline.Before(useBefore) {
		useBefore = j.deadline
	}
	j.voidAt = useBefore.Add(s.settings.PermitGrace)
	j.cachedTokens, j.uncachedTokens, j.tokensAhead, j.expectedFirst = c.cachedTokens, c.uncachedTokens, e.pendingPrefill, c.firstTokenSeconds
	j.crash, j.incarnation = e.crash, e.incarnation
	s.attach(j, e)
	j.crowded = e.freeSlots() <= 1
	s.suspects.join(j)
	s.addPrefill(j)
	e.cache.store(j.request.Prefix, s.now)
	s.markProbe(j, e)
	s.answer(j, wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: j.request.ID, Shard: s.id, Epoch: s.epoch, Endpoint: e.name, Address: e.spec.Address,
		Token: j.token, UseBefore: useBefore, CachedTokens: c.cachedTokens,
	}})
	s.count("grants", "")
}

// answer sends an answer to the entry of a job.
func (s *Shard) answer(j *job, a wigeonshift.PermitAnswer) {
	s.emit(AnswerPermit{Entry: j.entry, Request: j.request.ID, Answer: a})
}
