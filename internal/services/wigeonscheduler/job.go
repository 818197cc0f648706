package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// jobState is the state of a request at the owner.
type jobState uint8

const (
	// jobQueued waits for a permit.
	jobQueued jobState = iota
	// jobGranted has a permit that is not known to be spent.
	jobGranted
	// jobPrefilling was dispatched and has no first token.
	jobPrefilling
	// jobDecoding has its first token.
	jobDecoding
	// jobPausing was asked to pause.
	jobPausing
	// jobPaused holds its state at the endpoint without running.
	jobPaused
	// jobCancelling was asked to end.
	jobCancelling
)

// job is one request at the owner.
type job struct {
	request wigeonshift.PermitRequest
	entry   string
	state   jobState
	// deadline is never zero.
	deadline time.Time
	arrived  time.Time

	organisation *organisation
	// lane and flow are set while the job is queued.
	lane *lane
	flow *flow
	// work is the expected service time in seconds that the queue counts for the job.
	work float64
	// fastest is the expected service time in seconds on the best endpoint if idle.
	fastest float64

	// The rest is set with the grant.
	endpoint *endpoint
	token    wigeonshift.AttemptToken
	voidAt   time.Time
	// started is set once the entry told that the permit was spent.
	started bool
	granted time.Time
	// cached is the predicted number of prompt tokens in the endpoint's cache; uncached is the number to compute, with
	// the trust in the prediction reckoned in.
	cached   int
	uncached int
	// ahead is the number of prompt tokens that stood before this prompt when it was granted.
	ahead int
	// expectedFirst is the time after the grant at which the first token is expected.
	expectedFirst float64
	firstToken    time.Duration
	tokensDone    int
	// crowded is set when the job took the endpoint's last slot.
	crowded bool
	// incarnation is the endpoint's as known when the job was granted.
	incarnation string
	// crash is the endpoint's loss count when the job was granted.
	crash int
	// interrupted is set once the stream was paused or taken over; its pace then teaches nothing.
	interrupted bool
	// unpausable is set once the engine failed to pause the stream.
	unpausable bool
	// revoked is the time of the last unanswered revocation.
	revoked time.Time
	// alone is set for a suspect that runs with nothing beside it, reserved is the endpoint kept free for it.
	alone    bool
	reserved *endpoint
	// slot tells whether the job counts among its endpoint's running ones.
	slot bool
	// prefill tells whether the job counts in its endpoint's pending prefill.
	prefill bool
}

// rank returns the tier rank.
func (j *job) rank() wigeonshift.TierRank { return j.request.Rank }

// cost is the job's weight in the round robin over organisations, in estimated tokens.
func (j *job) cost() float64 {
	return float64(j.request.PromptTokens + j.request.MaxTokens)
}

// organisation counts what one organisation has in the shard. It exists only while something of it does.
type organisation struct {
	name    string
	spec    wigeonshift.Organisation
	queued  int
	running int
	// permits counts jobs that are with an endpoint, paused ones included.
	permits int
	bucket  tokenBucket
	// waiting is the organisation's queued work in each tier. The tiers' totals leave it out while the organisation is
	// at its own limit, because it then delays nobody else.
	waiting []waitingWork
}

// waitingWork is what one organisation has queued in one tier.
type waitingWork struct {
	tier          *tier
	work, prefill float64
}

// weight is the organisation's share against others.
func (o *organisation) weight() float64 {
	if o.spec.Weight <= 0 {
		return 1
	}
	return o.spec.Weight
}

// limited reports whether the organisation may start nothing more now.
func (o *organisation) limited() bool {
	return o.spec.MaxConcurrent > 0 && o.running >= o.spec.MaxConcurrent
}

// change applies a change of the organisation's running count or limits and moves its queued work out of the tiers'
// totals or back when it reaches or leaves its limit.
func (o *organisation) change(apply func()) {
	was := o.limited()
	apply()
	now := o.limited()
	if was == now {
		return
	}
	sign := 1.0
	if now {
		sign = -1
	}
	for _, w := range o.waiting {
		w.tier.add(sign*w.work, sign*w.prefill)
	}
}

// wait adds queued work of a tier, or takes it away.
func (o *organisation) wait(t *tier, work, prefill float64) {
	if !o.limited() {
		t.add(work, prefill)
	}
	for i := range o.waiting {
		if o.waiting[i].tier == t {
			o.waiting[i].work += work
			o.waiting[i].prefill += prefill
			return
		}
	}
	o.waiting = append(o.waiting, waitingWork{tier: t, work: work, prefill: prefill})
}

// ownWait is the time in seconds that the organisation's own queued work takes at its limit.
func (o *organisation) ownWait() float64 {
	work := 0.0
	for _, w := range o.waiting {
		work += w.work
	}
	return work / float64(max(1, o.spec.MaxConcurrent))
}

// organisationOf returns the record of an organisation, made on first use.
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

// dropOrganisation forgets an organisation of which nothing has to be remembered.
func (s *Shard) dropOrganisation(o *organisation) {
	if o.idle(s.now) {
		delete(s.organisations, o.name)
	}
}

// visit numbers the times that a request comes to an owner: each spent permit and each shard that passed it on raises
// it, a repeated message does not.
func visit(r *wigeonshift.PermitRequest) int {
	return r.Attempt*(MaxSpills+1) + r.Spills
}

// closedRing remembers the last requests that ended, with the visit they ended at.
type closedRing struct {
	ids    []wigeonshift.RequestID
	next   int
	visits map[wigeonshift.RequestID]int
}

// init sets the number of requests remembered.
func (c *closedRing) init(size int) {
	c.ids = make([]wigeonshift.RequestID, size)
	c.visits = map[wigeonshift.RequestID]int{}
}

// add remembers a request.
func (c *closedRing) add(r *wigeonshift.PermitRequest) {
	id := r.ID
	if _, ok := c.visits[id]; ok {
		c.visits[id] = visit(r)
		return
	}
	delete(c.visits, c.ids[c.next])
	c.ids[c.next] = id
	c.visits[id] = visit(r)
	c.next = (c.next + 1) % len(c.ids)
}

// covers reports whether a request ended at this visit or a later one.
func (c *closedRing) covers(r *wigeonshift.PermitRequest) bool {
	ended, ok := c.visits[r.ID]
	return ok && visit(r) <= ended
}
