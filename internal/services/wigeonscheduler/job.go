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
	granted  time.Time
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
	// crash is the endpoint's loss count when the job was granted.
	crash int
	// interrupted is set once the stream was paused or taken over; its pace then teaches nothing.
	interrupted bool
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

// closedRing remembers the last requests that ended, with the attempt number they ended at.
type closedRing struct {
	ids      []wigeonshift.RequestID
	next     int
	attempts map[wigeonshift.RequestID]int
}

// init sets the number of requests remembered.
func (c *closedRing) init(size int) {
	c.ids = make([]wigeonshift.RequestID, size)
	c.attempts = map[wigeonshift.RequestID]int{}
}

// add remembers a request.
func (c *closedRing) add(id wigeonshift.RequestID, attempt int) {
	if _, ok := c.attempts[id]; ok {
		c.attempts[id] = attempt
		return
	}
	delete(c.attempts, c.ids[c.next])
	c.ids[c.next] = id
	c.attempts[id] = attempt
	c.next = (c.next + 1) % len(c.ids)
}

// covers reports whether a request ended at this attempt or a later one.
func (c *closedRing) covers(id wigeonshift.RequestID, attempt int) bool {
	ended, ok := c.attempts[id]
	return ok && attempt <= ended
}
