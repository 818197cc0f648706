package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// placementResult is the result of an attempt to place a queued job.
type placementResult uint8

const (
	// resultPlaced means that the job was granted or left the queue with another final answer.
	resultPlaced placementResult = iota
	// resultJobBlocked means that this job has to wait, but other jobs of its lane might be placed.
	resultJobBlocked
	// resultLaneBlocked means that no job of the lane can be placed now.
	resultLaneBlocked
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
	// A job that has less than urgentSeconds left until its latest possible start may start beside long prefills.
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
	// score is finishSeconds plus a penalty for wastedTokens; the lowest is best.
	score float64
	// wastedTokens counts the prompt tokens to compute that another endpoint has cached, and those evicted by the job.
	wastedTokens int
	// inTime is set when both times are within the job's limits, comfortable when there is time to spare.
	inTime, comfortable bool
}

// place grants a queued job if an endpoint can take it now. Otherwise it preempts lower tiers, refuses the job if it
// can no longer be in time, or lets it wait, also for an endpoint that has more of its prompt cached. If no slot is
// free and no lower tier runs, it reports the whole lane as blocked, so that the lane's other jobs are not tried in
// vain.
func (s *Shard) place(j *job) placementResult {
	if j.lane.key.runsAlone {
		return s.placeAlone(j)
	}
	available, busy := s.bestCandidates(j)
	switch {
	case available.endpoint != nil && available.inTime && s.shouldWaitForPrefix(j, available, busy):
		return resultJobBlocked
	case available.endpoint != nil && available.inTime:
		s.grant(j, available)
		return resultPlaced
	case s.tryPreempt(j, busy, false):
		return resultPlaced
	case available.endpoint != nil && !busy.inTime:
		return s.placeLate(j, available)
	case available.endpoint != nil || busy.endpoint == nil || busy.endpoint.freeSlots() > 0 || s.runsLowerTier(j.rank()):
		return resultJobBlocked
	default:
		return resultLaneBlocked
	}
}

// placeLate handles a job that no endpoint is expected to serve in time. If only the first token is late, the job is
// granted because it still meets its deadline. Otherwise it is refused unless lower tiers can be preempted for it.
func (s *Shard) placeLate(j *job, c candidate) placementResult {
	if c.finishSeconds <= s.remainingSeconds(j) {
		s.grant(j, c)
		return resultPlaced
	}
	if !s.forcePreempt(j) {
		s.refuseQueued(j, wigeonshift.ReasonDeadlineUnreachable)
	}
	return resultPlaced
}

// bestCandidates returns the best endpoint where the job may start now, and the best one that is up but where it may
// not. The second one is returned because it may be worth the wait if it has more of the prompt cached. Urgency is
// computed only where a long prefill is involved, because it makes no difference elsewhere.
func (s *Shard) bestCandidates(j *job) (available, busy candidate) {
	pc := s.placementContextOf(j)
	urgent, urgencyKnown := false, false
	for _, e := range s.sortedEndpoints {
		if !pc.eligible(j, e) || e.reservedFor != nil {
			continue
		}
		c := s.estimate(j, e, &pc)
		if !urgencyKnown && e.freeSlots() > 0 && (e.pendingLongPrefills > 0 || s.isLongPrefill(c.uncachedTokens)) {
			urgent, urgencyKnown = s.mustStartNow(j), true
		}
		if e.freeSlots() > 0 && s.canStart(j, c, urgent) {
			available = betterCandidate(available, c)
		} else if e.health == healthUp {
			busy = betterCandidate(busy, c)
		}
	}
	return available, busy
}

// placementContext holds the inputs to a job's placement that are the same for all endpoints, computed once.
type placementContext struct {
	// longestPrefixTokens is the longest prefix of the prompt that any endpoint has cached.
	longestPrefixTokens int
	// answerTokens is the expected length of the answer.
	answerTokens float64
	// remainingSeconds and firstTokenBudgetSeconds are the times left until the deadline and for the first token.
	remainingSeconds, firstTokenBudgetSeconds float64
	// inFlight counts the jobs in flight with the job's fingerprint, nil for none.
	inFlight *inFlightJobs
}

// placementContextOf returns a job's placementContext, so that estimates for several endpoints share its inputs. It
// also sets s.prefixLengths for the job.
func (s *Shard) placementContextOf(j *job) placementContext {
	return placementContext{
		longestPrefixTokens:     s.lookupPrefix(j),
		answerTokens:            s.expectedTokens(j),
		remainingSeconds:        s.remainingSeconds(j),
		firstTokenBudgetSeconds: s.firstTokenBudgetSeconds(j),
		inFlight:                s.suspects.inFlight[j.request.Fingerprint],
	}
}

// eligible reports whether an endpoint may serve a job at all, whether or not it has a free slot. It excludes the
// endpoints that the request avoids. While MaxCrashes endpoints run requests with the same fingerprint (a hash of the
// request content), it excludes all others, so that the request cannot crash more.
func (pc *placementContext) eligible(j *job, e *endpoint) bool {
	return e.acceptsWork() && e.serves(j.request.Model) && !slices.Contains(j.request.Avoid, e.name) && pc.inFlight.allows(e)
}

// eligible is placementContext.eligible for callers without a context.
func (s *Shard) eligible(j *job, e *endpoint) bool {
	pc := placementContext{inFlight: s.suspects.inFlight[j.request.Fingerprint]}
	return pc.eligible(j, e)
}

// betterCandidate returns the preferred candidate. An endpoint in time goes before one that is late, then a comfortable
// one before others; among comfortable ones the least repeated prefill wins, and then the lowest score.
func betterCandidate(a, b candidate) candidate {
	if a.endpoint == nil || b.preferredTo(&a) {
		return b
	}
	return a
}

// preferredTo reports whether a candidate is preferred to another. One that meets the job's limits goes first, then a
// comfortable one, which meets them with time to spare. A comfortable job can afford some delay, so the fewest wasted
// tokens (prompt tokens cached elsewhere, and tokens evicted by the job) come next. All other cases compare the score:
// the expected finish time plus a penalty for the waste.
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
	if len(s.prefixLengths) < len(s.sortedEndpoints) {
		s.prefixLengths = make([]int, len(s.sortedEndpoints)+8)
	}
	if len(j.request.Prefix) == 0 {
		clear(s.prefixLengths)
		return 0
	}
	return min(s.prefixes.lookup(j.request.Prefix, s.prefixLengths), j.request.PromptTokens-1)
}

// estimate predicts the times and the repeated prefill of a job on an endpoint. Tokens predicted to be cached count
// only in part (cache.trust), according to how often such predictions for this endpoint were right. inTime keeps a
// margin before the deadline. It reads s.prefixLengths, which lookupPrefix has set for the job.
func (s *Shard) estimate(j *job, e *endpoint, pc *placementContext) candidate {
	cached := 0
	if e.index < len(s.prefixLengths) {
		cached = min(s.prefixLengths[e.index], j.request.PromptTokens-1)
	}
	trusted := int(float64(cached) * e.cache.trust)
	uncached := j.request.PromptTokens - trusted
	rate := e.speed.expectedPrefillRate()
	c := candidate{endpoint: e, cachedTokens: cached, uncachedTokens: uncached}
	c.firstTokenSeconds = defaultOverheadSeconds + float64(e.pendingPrefillTokens+uncached)/rate
	c.finishSeconds = c.firstTokenSeconds + pc.answerTokens*e.speed.expectedSecondsPerToken()
	c.wastedTokens = max(0, pc.longestPrefixTokens-cached) + s.evictedTokens(e, uncached)
	c.score = c.finishSeconds + wastePenaltyFactor*float64(c.wastedTokens)/rate
	c.inTime = c.finishSeconds <= pc.remainingSeconds*deadlineShare && c.firstTokenSeconds <= pc.firstTokenBudgetSeconds
	c.comfortable = c.finishSeconds <= pc.remainingSeconds*comfortableFinishShare && c.firstTokenSeconds <= pc.firstTokenBudgetSeconds*comfortableFirstTokenShare
	return c
}

// evictedTokens is the expected number of tokens to be computed again because new ones evict them from a full cache.
// The longer the least recently used block has been idle, the less the evicted tokens count.
func (s *Shard) evictedTokens(e *endpoint, tokens int) int {
	c := e.cache
	blocks := tokens / wigeonshift.PrefixBlockTokens
	over := min(blocks, len(c.nodeIndexes)+blocks-c.maxBlocks)
	if over <= 0 {
		return 0
	}
	age := s.now.Sub(c.leastRecentUse()).Seconds()
	return int(float64(over*wigeonshift.PrefixBlockTokens) / (1 + age/evictionHalfAgeSeconds))
}

// canStart reports whether a job may start on an endpoint with a free slot. Long prefills are kept apart from each
// other and from short prompts, because one slows down the other answers on its endpoint. A job that would miss its
// deadline by waiting starts anyway. A straggler (a slow endpoint) gets only probes while a faster endpoint is
// available.
func (s *Shard) canStart(j *job, c candidate, urgent bool) bool {
	e := c.endpoint
	if e.health == healthStraggler && !s.onlyStragglersLeft(j) {
		return s.mayProbe(j, e)
	}
	if e.pendingPrefillTokens == 0 && !s.isLongPrefill(c.uncachedTokens) {
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

// leavesShortPromptEndpoints reports whether enough endpoints remain without a long prefill if one starts on e, so that
// short prompts still have endpoints to start on. A single endpoint may take long prefills too.
func (s *Shard) leavesShortPromptEndpoints(j *job, e *endpoint) bool {
	serving, without := 0, 0
	for _, o := range s.sortedEndpoints {
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

// shouldWaitForPrefix reports whether the job should wait for a busy endpoint that has more of its prefix cached,
// because that saves repeated prefill. The wait must be short against the prefill saved and leave the job in time. A
// non-interactive job may wait longer, for a small share of its total time.
func (s *Shard) shouldWaitForPrefix(j *job, available, busy candidate) bool {
	if busy.endpoint == nil || busy.wastedTokens >= available.wastedTokens {
		return false
	}
	saved := float64(available.wastedTokens-busy.wastedTokens) / available.endpoint.speed.expectedPrefillRate()
	wait := s.expectedReleaseSeconds(busy.endpoint)
	waited := s.now.Sub(j.arrivedAt).Seconds()
	maxWaitSeconds := maxPrefixWaitFactor * saved
	if !s.interactive(j) {
		maxWaitSeconds = max(maxWaitSeconds, nonInteractiveWaitShare*(s.remainingSeconds(j)+waited))
	}
	return wait+waited < maxWaitSeconds && wait+busy.finishSeconds < s.remainingSeconds(j)*prefixWaitTimeShare && wait+busy.firstTokenSeconds < s.firstTokenBudgetSeconds(j)*prefixWaitTimeShare
}

// expectedReleaseSeconds is the expected time until an endpoint can take another job: its pending prefill, and the time
// to the next finished answer if no slot is free.
func (s *Shard) expectedReleaseSeconds(e *endpoint) float64 {
	wait := float64(e.pendingPrefillTokens) / e.speed.expectedPrefillRate()
	if e.freeSlots() <= 0 {
		wait += s.meanAnswerTokens() * e.speed.expectedSecondsPerToken() / float64(e.concurrencyLimit())
	}
	return wait
}

// remainingSeconds is the time to a job's deadline in seconds.
func (s *Shard) remainingSeconds(j *job) float64 {
	return j.deadline.Sub(s.now).Seconds()
}

// firstTokenBudgetSeconds is the time left for a job's first token. Only interactive jobs have a limit. It counts from
// the time when the shard may grant, because before that a job can neither start nor preempt a lower tier.
func (s *Shard) firstTokenBudgetSeconds(j *job) float64 {
	if !s.interactive(j) || s.epoch == 0 {
		return s.remainingSeconds(j)
	}
	since := j.arrivedAt
	if s.rebuildUntil.After(since) {
		since = s.rebuildUntil
	}
	return s.settings.FirstTokenTarget.Seconds() - s.now.Sub(since).Seconds()
}

// mustStartOn reports whether a job has to start now on an endpoint to meet its deadline there.
func (s *Shard) mustStartOn(j *job, c *candidate) bool {
	return c.inTime && s.remainingSeconds(j)*deadlineShare-c.finishSeconds < urgentSeconds
}

// mustStartNow reports whether a job would miss its deadline on every endpoint unless it starts now. Such a job may
// start beside long prefills.
func (s *Shard) mustStartNow(j *job) bool {
	fastest := s.fastestSeconds(j)
	return s.remainingSeconds(j)*deadlineShare-fastest < urgentSeconds
}

// grant gives a job a permit for an endpoint and removes it from the queue. The owner keeps the slot for PermitGrace
// beyond the permit's expiry, because the report of its use arrives later. The job's prefix counts as cached from now
// on, so that following jobs with the same prefix prefer this endpoint.
func (s *Shard) grant(j *job, c candidate) {
	e := c.endpoint
	if j.flow != nil {
		j.flow.deficitTokens -= j.cost()
		s.dequeue(j)
	}
	j.state, j.token, j.grantedAt = jobGranted, s.nextToken(), s.now
	expiresAt := s.now.Add(s.settings.PermitLifetime)
	if j.deadline.Before(expiresAt) {
		expiresAt = j.deadline
	}
	j.grantExpiresAt = expiresAt.Add(s.settings.PermitGrace)
	j.cachedTokens, j.uncachedTokens, j.tokensAhead, j.expectedFirstTokenSeconds = c.cachedTokens, c.uncachedTokens, e.pendingPrefillTokens, c.firstTokenSeconds
	j.crashCountAtGrant, j.incarnationAtGrant = e.crashCount, e.incarnation
	s.attach(j, e)
	j.grantedNearLimit = e.freeSlots() <= 1
	s.suspects.addJob(j)
	s.addPrefill(j)
	e.cache.store(j.request.Prefix, s.now)
	s.startProbe(j, e)
	s.sendPermitAnswer(j, wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: j.request.ID, Shard: s.id, Epoch: s.epoch, Endpoint: e.name, Address: e.spec.Address,
		Token: j.token, ExpiresAt: expiresAt, CachedTokens: c.cachedTokens,
	}})
	s.count("grants", "")
}

// sendPermitAnswer sends an answer about a job to its entry.
func (s *Shard) sendPermitAnswer(j *job, a wigeonshift.PermitAnswer) {
	s.emit(AnswerPermit{Entry: j.entry, Request: j.request.ID, Answer: a})
}
