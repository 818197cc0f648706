package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// jobState is the owner's state of a request.
type jobState uint8

const (
	// jobQueued waits for a permit.
	jobQueued jobState = iota
	// jobGranted has a permit and is not known to have started.
	jobGranted
	// jobPrefilling has started and has no first token yet.
	jobPrefilling
	// jobDecoding has its first token.
	jobDecoding
	// jobPausing was asked to pause.
	jobPausing
	// jobPaused keeps its state at the endpoint and does not run.
	jobPaused
	// jobCancelling was asked to stop.
	jobCancelling
)

// job is the owner's state of one request.
type job struct {
	request wigeonshift.PermitRequest
	entry   string
	state   jobState
	// deadline is never zero.
	deadline  time.Time
	arrivedAt time.Time

	organisation *organisation
	// lane and flow are set while the job is queued.
	lane *lane
	flow *flow
	// workSeconds is the expected service time that the queue counts for the job.
	workSeconds float64
	// fastestSeconds is the expected service time on the fastest endpoint if it were idle.
	fastestSeconds float64

	// The fields below are set when a permit is granted.
	endpoint *endpoint
	token    wigeonshift.AttemptToken
	// grantExpiresAt is when the grant expires if the entry has not reported that it used the permit.
	grantExpiresAt time.Time
	// started is set once the entry has reported that it used the permit.
	started   bool
	grantedAt time.Time
	// cachedTokens is the number of prompt tokens predicted to be in the endpoint's cache. uncachedTokens is the number
	// expected to be computed; it counts cached tokens in part if the prediction is not fully trusted.
	cachedTokens   int
	uncachedTokens int
	// tokensAhead is the number of prompt tokens that were pending at the endpoint when the permit was granted.
	tokensAhead int
	// expectedFirstTokenSeconds is the expected time in seconds from the grant to the first token.
	expectedFirstTokenSeconds float64
	firstTokenLatency         time.Duration
	tokensDone                int
	// grantedNearLimit is set when the grant left at most one slot of the endpoint free.
	grantedNearLimit bool
	// incarnationAtGrant is the endpoint's incarnation when the permit was granted.
	incarnationAtGrant string
	// crashCountAtGrant is the endpoint's crashCount when the permit was granted or the attempt was adopted.
	crashCountAtGrant int
	// interrupted is set once the stream was paused or adopted from another owner. Its pace is then not measured, because
	// the time includes the pause or the first token may have been missed.
	interrupted bool
	// pauseFailed is set once the engine failed to pause the stream. It is not asked again.
	pauseFailed bool
	// revokedAt is when the last revocation was sent; an unanswered one is sent again.
	revokedAt time.Time
	// runsAlone is set for a suspect that runs with no other job on its endpoint; reservedEndpoint is the endpoint kept
	// free for it.
	runsAlone        bool
	reservedEndpoint *endpoint
	// holdsSlot is set while the job counts among its endpoint's running jobs.
	holdsSlot bool
	// prefillPending is set while the job counts in its endpoint's pending prefill.
	prefillPending bool
}

// rank returns the rank of the job's tier; lower numbers are higher tiers.
func (j *job) rank() wigeonshift.TierRank { return j.request.Rank }

// cost is what the job costs in the deficit round robin between organisations, in estimated tokens.
func (j *job) cost() float64 {
	return float64(j.request.PromptTokens + j.request.MaxTokens)
}

// organisation counts the jobs of one organisation in the shard. It is deleted once nothing in it has to be kept.
type organisation struct {
	name    string
	spec    wigeonshift.Organisation
	queued  int
	running int
	// permits counts jobs that are assigned to an endpoint, including paused ones.
	permits int
	bucket  tokenBucket
	// queuedWork is the organisation's queued work in each tier. The totals of the tiers exclude it while the
	// organisation is at its concurrency limit, because it then delays no other organisation.
	queuedWork []tierWork
}

// tierWork is the queued work of one organisation in one tier.
type tierWork struct {
	tier                       *tier
	workSeconds, prefillTokens float64
}

// weight is the organisation's weight in the round robin.
func (o *organisation) weight() float64 {
	if o.spec.Weight <= 0 {
		return 1
	}
	return o.spec.Weight
}

// atLimit reports whether the organisation's concurrency limit prevents further starts.
func (o *organisation) atLimit() bool {
	return o.spec.MaxConcurrent > 0 && o.running >= o.spec.MaxConcurrent
}

// update changes the organisation's running count or limits with apply. If the organisation reaches or leaves its
// concurrency limit, its queued work is removed from the totals of the tiers or added to them, because at the limit
// that work delays no other organisation.
func (o *organisation) update(apply func()) {
	was := o.atLimit()
	apply()
	now := o.atLimit()
	if was == now {
		return
	}
	sign := 1.0
	if now {
		sign = -1
	}
	for _, w := range o.queuedWork {
		w.tier.addWork(sign*w.workSeconds, sign*w.prefillTokens)
	}
}

// addQueuedWork adds queued work to a tier; negative values remove it. While the organisation is at its concurrency
// limit, the tier's total leaves the work out, because it then delays no other organisation.
func (o *organisation) addQueuedWork(t *tier, work, prefill float64) {
	if !o.atLimit() {
		t.addWork(work, prefill)
	}
	for i := range o.queuedWork {
		if o.queuedWork[i].tier == t {
			o.queuedWork[i].workSeconds += work
			o.queuedWork[i].prefillTokens += prefill
			return
		}
	}
	o.queuedWork = append(o.queuedWork, tierWork{tier: t, workSeconds: work, prefillTokens: prefill})
}

// ownWaitSeconds is the time that the organisation's queued work takes when run at its concurrency limit. Free
// endpoints do not shorten it.
func (o *organisation) ownWaitSeconds() float64 {
	work := 0.0
	for _, w := range o.queuedWork {
		work += w.workSeconds
	}
	return work / float64(max(1, o.spec.MaxConcurrent))
}

// organisationOf returns the state of an organisation and creates it on first use.
func (s *Shard) organisationOf(name string) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{name: name}
		if s.product != nil {
			o.spec = s.product.Organisations[name]
		}
		s.organisations[name] = o
	}
	return o
}

// dropIdleOrganisation deletes an organisation that is idle.
func (s *Shard) dropIdleOrganisation(o *organisation) {
	if o.idle(s.now) {
		delete(s.organisations, o.name)
	}
}

// arrivalNumber numbers the arrivals of a request at an owner. Each used permit and each shard that passed the request
// on raises it; a repeated message does not.
func arrivalNumber(r *wigeonshift.PermitRequest) int {
	return r.Attempt*(MaxSpills+1) + r.SpillCount
}

// closedRequests remembers the most recently closed requests in a ring, each with its arrival number at the close.
type closedRequests struct {
	ids      []wigeonshift.RequestID
	next     int
	arrivals map[wigeonshift.RequestID]int
}

// init sets the number of requests to remember.
func (c *closedRequests) init(size int) {
	c.ids = make([]wigeonshift.RequestID, size)
	c.arrivals = map[wigeonshift.RequestID]int{}
}

// add remembers a request so that late duplicates of it are ignored; the oldest one is dropped once the ring is full.
func (c *closedRequests) add(r *wigeonshift.PermitRequest) {
	id := r.ID
	if _, ok := c.arrivals[id]; ok {
		c.arrivals[id] = arrivalNumber(r)
		return
	}
	delete(c.arrivals, c.ids[c.next])
	c.ids[c.next] = id
	c.arrivals[id] = arrivalNumber(r)
	c.next = (c.next + 1) % len(c.ids)
}

// contains reports whether a request was closed at this arrival number or a later one.
func (c *closedRequests) contains(r *wigeonshift.PermitRequest) bool {
	ended, ok := c.arrivals[r.ID]
	return ok && arrivalNumber(r) <= ended
}
