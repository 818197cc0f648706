package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// verdict is the result of trying to place a queued job.
type verdict uint8

const (
	// placed means that the job was granted, or left the queue with another final answer.
	placed verdict = iota
	// held means that this job waits although others of its lane might not.
	held
	// full means that no job of the lane can be placed now.
	full
)

// Weights and margins of the placement.
const (
	// wasteWeight is how many seconds of delay a second of repeated prefill is worth.
	wasteWeight = 100
	// finishComfort and firstComfort are the parts of the time to the deadline and to the first token's bound within
	// which repeated prefill counts before speed.
	finishComfort = 0.85
	firstComfort  = 0.7
	// holdShare is the part of the time to a bound that a job may plan with when it waits for its prefix.
	holdShare = 0.8
	// holdFactor is how many seconds a job waits at most to save a second of repeated prefill.
	holdFactor = 20.0
	// holdPatience is the part of its whole time that a job nobody waits for at a screen may wait for its prefix.
	holdPatience = 0.05
	// evictionAge weighs what a new prefix pushes out of a full cache: it counts half when the least recently used block
	// has not been used for the age, in seconds.
	evictionAge = 30.0
	// wasteStep is the difference in repeated prefill, in tokens, that counts.
	wasteStep = 128
	// urgentSeconds is the time before its latest start at which a job overrides the separation of long prompts.
	urgentSeconds = 0.5
	// deadlineMargin is the share of the time to the deadline that a placement may plan with.
	deadlineMargin = 0.95
)

// candidate is one endpoint weighed for a job.
type candidate struct {
	endpoint *endpoint
	// cached and uncached split the prompt as predicted.
	cached, uncached int
	// first and finish are the expected seconds from now to the first and the last token.
	first, finish float64
	// score orders candidates; the least is best.
	score float64
	// waste is the number of prompt tokens to compute that another endpoint holds or that are pushed out of the cache.
	waste int
	// inTime tells whether first and finish meet the job's bounds, comfortable whether there is time to spare.
	inTime, comfortable bool
}

// place grants a queued job if an endpoint can take it now.
func (s *Shard) place(j *job) verdict {
	if j.lane.key.alone {
		return s.placeAlone(j)
	}
	open, waiting := s.weigh(j)
	switch {
	case open.endpoint != nil && open.inTime && s.worthWaiting(j, open, waiting):
		return held
	case open.endpoint != nil && open.inTime:
		s.grant(j, open)
		return placed
	case s.makeRoom(j, waiting, false):
		return placed
	case open.endpoint != nil && !waiting.inTime:
		return s.placeLate(j, open)
	case open.endpoint != nil || waiting.endpoint == nil || waiting.endpoint.free() > 0 || s.lowerRuns(j.rank()):
		return held
	default:
		return full
	}
}

// placeLate deals with a job that no endpoint is expected to finish in time: it is refused when it cannot be on time
// anywhere, and tried when only its first token is late.
func (s *Shard) placeLate(j *job, c candidate) verdict {
	if c.finish <= s.remaining(j) {
		s.grant(j, c)
		return placed
	}
	if !s.press(j) {
		s.refuseQueued(j, wigeonshift.ReasonDeadline)
	}
	return placed
}

// weigh returns the best endpoint that could take the job now and the best of those that could only later.
func (s *Shard) weigh(j *job) (open, waiting candidate) {
	o := s.outlookOf(j)
	urgent, known := false, false
	for _, e := range s.ordered {
		if !o.mayTake(j, e) || e.reserved != nil {
			continue
		}
		c := s.estimate(j, e, &o)
		if !known && e.free() > 0 && (e.pendingLong > 0 || s.long(c.uncached)) {
			urgent, known = s.urgent(j), true
		}
		if e.free() > 0 && s.admits(j, c, urgent) {
			open = better(open, c)
		} else if e.health == healthUp {
			waiting = better(waiting, c)
		}
	}
	return open, waiting
}

// outlook is what all endpoints weighed for a job have in common, worked out once.
type outlook struct {
	// longest is the longest prefix of the prompt that any endpoint holds, in tokens.
	longest int
	// tokens is the expected length of the answer.
	tokens float64
	// remaining and budget are the seconds to the deadline and to the bound of the first token.
	remaining, budget float64
	// flight holds the attempts with the job's fingerprint, nil for none.
	flight *flight
}

// outlookOf returns a job's outlook and fills the scratch of cached prefix lengths.
func (s *Shard) outlookOf(j *job) outlook {
	return outlook{
		longest:   s.lookupPrefix(j),
		tokens:    s.expectedTokens(j),
		remaining: s.remaining(j),
		budget:    s.firstTokenBudget(j),
		flight:    s.suspects.flights[j.request.Fingerprint],
	}
}

// mayTake reports whether an endpoint could serve a job at all.
func (o *outlook) mayTake(j *job, e *endpoint) bool {
	return e.open() && e.serves(j.request.Model) && !slices.Contains(j.request.Avoid, e.name) && o.flight.permits(e)
}

// mayTake reports whether an endpoint could serve a job at all.
func (s *Shard) mayTake(j *job, e *endpoint) bool {
	o := outlook{flight: s.suspects.flights[j.request.Fingerprint]}
	return o.mayTake(j, e)
}

// better returns the candidate to prefer: one in time before one that is not; with time to spare the least repeated
// prefill; then the least score.
func better(a, b candidate) candidate {
	if a.endpoint == nil || b.before(&a) {
		return b
	}
	return a
}

// before reports whether a candidate is preferred to another.
func (c *candidate) before(o *candidate) bool {
	switch {
	case c.inTime != o.inTime:
		return c.inTime
	case c.comfortable != o.comfortable:
		return c.comfortable
	case c.comfortable && c.waste/wasteStep != o.waste/wasteStep:
		return c.waste < o.waste
	default:
		return c.score < o.score
	}
}

// lookupPrefix fills the shard's scratch with the cached prefix lengths for a job.
func (s *Shard) lookupPrefix(j *job) int {
	if len(s.lengths) < len(s.ordered) {
		s.lengths = make([]int, len(s.ordered)+8)
	}
	if len(j.request.Prefix) == 0 {
		clear(s.lengths)
		return 0
	}
	return min(s.prefixes.lookup(j.request.Prefix, s.lengths), j.request.PromptTokens-1)
}

// estimate predicts how a job would fare on an endpoint.
func (s *Shard) estimate(j *job, e *endpoint, o *outlook) candidate {
	cached := 0
	if e.index < len(s.lengths) {
		cached = min(s.lengths[e.index], j.request.PromptTokens-1)
	}
	trusted := int(float64(cached) * e.cache.trust)
	uncached := j.request.PromptTokens - trusted
	rate := e.speed.rate()
	c := candidate{endpoint: e, cached: cached, uncached: uncached}
	c.first = defaultOverhead + float64(e.pendingPrefill+uncached)/rate
	c.finish = c.first + o.tokens*e.speed.pace()
	c.waste = max(0, o.longest-cached) + s.evicted(e, uncached)
	c.score = c.finish + wasteWeight*float64(c.waste)/rate
	c.inTime = c.finish <= o.remaining*deadlineMargin && c.first <= o.budget
	c.comfortable = c.finish <= o.remaining*finishComfort && c.first <= o.budget*firstComfort
	return c
}

// evicted is the expected number of tokens that have to be computed again because new ones push them out of the cache.
func (s *Shard) evicted(e *endpoint, tokens int) int {
	c := e.cache
	blocks := tokens / wigeonshift.PrefixBlockTokens
	over := min(blocks, len(c.places)+blocks-c.limit)
	if over <= 0 {
		return 0
	}
	age := s.now.Sub(c.oldest()).Seconds()
	return int(float64(over*wigeonshift.PrefixBlockTokens) / (1 + age/evictionAge))
}

// admits tells whether a job may join an endpoint with a free slot: long prefills keep apart from one another and
// from short prompts, and a straggler gets only probes while a quicker endpoint is there.
func (s *Shard) admits(j *job, c candidate, urgent bool) bool {
	e := c.endpoint
	if e.health == healthStraggler && !s.lastResort(j) {
		return s.admitsProbe(j, e)
	}
	if e.pendingPrefill == 0 && !s.long(c.uncached) {
		return true
	}
	if urgent || s.lastChance(j, &c) {
		return true
	}
	if s.long(c.uncached) {
		return e.pendingLong == 0 && s.keepsShortLane(j, e)
	}
	return e.pendingLong == 0
}

// keepsShortLane tells whether enough endpoints stay without a long prefill when one more starts at e.
func (s *Shard) keepsShortLane(j *job, e *endpoint) bool {
	serving, without := 0, 0
	for _, o := range s.ordered {
		if !o.open() || o.health != healthUp || !o.serves(j.request.Model) {
			continue
		}
		serving++
		if o != e && o.pendingLong == 0 {
			without++
		}
	}
	if serving <= 1 {
		return true
	}
	return without >= max(1, serving/shortLaneDivisor)
}

// shortLaneDivisor is the inverse share of endpoints kept free of long prefills.
const shortLaneDivisor = 4

// worthWaiting tells whether the job should wait for an endpoint that holds its prefix and is busy now.
func (s *Shard) worthWaiting(j *job, open, waiting candidate) bool {
	if waiting.endpoint == nil || waiting.waste >= open.waste {
		return false
	}
	saved := float64(open.waste-waiting.waste) / open.endpoint.speed.rate()
	wait := s.expectedRelease(waiting.endpoint)
	waited := s.now.Sub(j.arrived).Seconds()
	patience := holdFactor * saved
	if !s.interactive(j) {
		patience = max(patience, holdPatience*(s.remaining(j)+waited))
	}
	return wait+waited < patience && wait+waiting.finish < s.remaining(j)*holdShare && wait+waiting.first < s.firstTokenBudget(j)*holdShare
}

// expectedRelease is the expected time in seconds until an endpoint can take another job.
func (s *Shard) expectedRelease(e *endpoint) float64 {
	wait := float64(e.pendingPrefill) / e.speed.rate()
	if e.free() <= 0 {
		wait += s.tokensPerAnswer() * e.speed.pace() / float64(e.limit())
	}
	return wait
}

// remaining is the time to a job's deadline in seconds.
func (s *Shard) remaining(j *job) float64 {
	return j.deadline.Sub(s.now).Seconds()
}

// firstTokenBudget is the time left for a job's first token in seconds; it is bounded for interactive jobs only. It runs
// from the time when the shard may grant: before that a job can neither start nor take the place of a lower tier.
func (s *Shard) firstTokenBudget(j *job) float64 {
	if !s.interactive(j) || s.epoch == 0 {
		return s.remaining(j)
	}
	since := j.arrived
	if s.rebuildUntil.After(since) {
		since = s.rebuildUntil
	}
	return s.settings.FirstTokenTarget.Seconds() - s.now.Sub(since).Seconds()
}

// lastChance tells whether a job has to start now on an endpoint to be on time there.
func (s *Shard) lastChance(j *job, c *candidate) bool {
	return c.inTime && s.remaining(j)*deadlineMargin-c.finish < urgentSeconds
}

// urgent tells whether a job has to start now anywhere to be on time; it then overrides the separation of long prompts.
func (s *Shard) urgent(j *job) bool {
	fast := s.fastest(j)
	return s.remaining(j)*deadlineMargin-fast < urgentSeconds
}

// grant gives a queued job a permit for an endpoint.
func (s *Shard) grant(j *job, c candidate) {
	e := c.endpoint
	if j.flow != nil {
		j.flow.deficit -= j.cost()
		s.dequeue(j)
	}
	j.state, j.token, j.granted = jobGranted, s.nextToken(), s.now
	useBefore := s.now.Add(s.settings.PermitLifetime)
	if j.deadline.Before(useBefore) {
		useBefore = j.deadline
	}
	j.voidAt = useBefore.Add(s.settings.PermitGrace)
	j.cached, j.uncached, j.ahead, j.expectedFirst = c.cached, c.uncached, e.pendingPrefill, c.first
	j.crash, j.incarnation = e.crash, e.incarnation
	s.attach(j, e)
	j.crowded = e.free() <= 1
	s.suspects.join(j)
	s.addPrefill(j)
	e.cache.store(j.request.Prefix, s.now)
	s.markProbe(j, e)
	s.answer(j, wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: j.request.ID, Shard: s.id, Epoch: s.epoch, Endpoint: e.name, Address: e.spec.Address,
		Token: j.token, UseBefore: useBefore, CachedTokens: c.cached,
	}})
	s.count("grants", "")
}

// answer sends an answer to a job's entry.
func (s *Shard) answer(j *job, a wigeonshift.PermitAnswer) {
	s.emit(AnswerPermit{Entry: j.entry, Request: j.request.ID, Answer: a})
}
