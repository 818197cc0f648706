package wigeonbench

import (
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// checkAnswer checks an answer to a permit request.
func (c *Checker) checkAnswer(f wigeonscheduler.AnswerPermit) {
	s := c.requests[f.Request]
	if s == nil {
		c.addViolation("answer to the unknown request %s", f.Request)
		return
	}
	switch a := f.Answer; {
	case a.Grant != nil:
		c.checkGrant(s, a.Grant)
	case a.Refuse != nil:
		c.checkRefusal(s, a.Refuse)
	case a.Revoke != nil:
		c.checkRevocation(s, a.Revoke)
	case a.Spill != nil:
		if s.outcomeCount > 0 || s.running {
			c.addViolation("request %s spilled after its end or grant", s.request.ID)
		}
		c.recordOutcome(s)
	}
}

// checkGrant checks a grant. It ignores the repeat of a grant.
func (c *Checker) checkGrant(s *requestState, p *wigeonshift.Permit) {
	id := s.request.ID
	if s.permit != nil && s.permit.Token == p.Token {
		return
	}
	spec, known := c.endpoints[p.Endpoint]
	switch {
	case s.outcomeCount > 0:
		c.addViolation("request %s granted after its end", id)
	case s.permit != nil:
		c.addViolation("request %s granted twice", id)
	case p.Epoch != c.epoch:
		c.addViolation("request %s granted with epoch %d in epoch %d", id, p.Epoch, c.epoch)
	case c.draining || c.now.Before(c.rebuildUntil):
		c.addViolation("request %s granted while draining or rebuilding", id)
	case !known || spec.State == wigeonshift.EndpointLeaving:
		c.addViolation("request %s granted to %s, which is leaving", id, p.Endpoint)
	case !s.request.Deadline.IsZero() && s.request.Deadline.Before(c.now):
		c.addViolation("request %s granted after its deadline", id)
	case slices.Contains(s.request.Avoid, p.Endpoint):
		c.addViolation("request %s granted to %s again", id, p.Endpoint)
	}
	c.checkFingerprint(s, p)
	s.permit, s.running, s.started = p, true, false
	c.inFlight = append(c.inFlight, s)
	c.checkLimits(s, spec)
}

// checkFingerprint checks that a request with a quarantined fingerprint is not granted, that a suspect request runs alone
// on its endpoint, and that a fingerprint is in flight on at most two endpoints.
func (c *Checker) checkFingerprint(s *requestState, p *wigeonshift.Permit) {
	f := s.request.Fingerprint
	if f != 0 && (c.lossCounts[f] >= 2 || c.quarantined[f]) {
		c.addViolation("request %s granted although two endpoints were lost with its fingerprint", s.request.ID)
	}
	s.isolated = f != 0 && c.lossCounts[f] == 1
	endpoints := map[string]bool{p.Endpoint: true}
	for _, o := range c.inFlight {
		if o == s {
			continue
		}
		if f != 0 && o.request.Fingerprint == f {
			endpoints[o.permit.Endpoint] = true
		}
		if o.permit.Endpoint != p.Endpoint {
			continue
		}
		if s.isolated {
			c.addViolation("suspect request %s granted on the same endpoint as %s", s.request.ID, o.request.ID)
		}
		if o.isolated {
			c.addViolation("request %s granted on the same endpoint as suspect request %s", s.request.ID, o.request.ID)
		}
	}
	if len(endpoints) > 2 {
		c.addViolation("fingerprint of request %s is in flight on %d endpoints", s.request.ID, len(endpoints))
	}
}

// checkLimits checks the configured concurrency limits of the endpoint and the organisation.
func (c *Checker) checkLimits(s *requestState, spec wigeonshift.EndpointSpec) {
	atEndpoint, ofOrganisation := 0, 0
	for _, o := range c.inFlight {
		if !o.running {
			continue
		}
		if o.permit.Endpoint == s.permit.Endpoint && !o.revocationPending {
			atEndpoint++
		}
		if o.request.Organisation == s.request.Organisation {
			ofOrganisation++
		}
	}
	if spec.MaxConcurrent > 0 && atEndpoint > spec.MaxConcurrent {
		c.addViolation("endpoint %s runs %d of at most %d", s.permit.Endpoint, atEndpoint, spec.MaxConcurrent)
	}
	if c.product == nil {
		return
	}
	if limit := c.product.Organisations[s.request.Organisation].MaxConcurrent; limit > 0 && ofOrganisation > limit {
		c.addViolation("organisation %s runs %d of at most %d", s.request.Organisation, ofOrganisation, limit)
	}
}

// checkRefusal checks a refusal.
func (c *Checker) checkRefusal(s *requestState, r *wigeonshift.Refusal) {
	if s.outcomeCount > 0 {
		c.addViolation("request %s refused after its end", s.request.ID)
		return
	}
	if s.permit != nil && (s.running || s.started) && r.State == wigeonshift.NotRun {
		c.addViolation("request %s refused as not run although it has a permit", s.request.ID)
	}
	if isShedForCapacity(r) {
		c.checkTierOrder(s, r)
	}
	c.recordOutcome(s)
}

// isShedForCapacity reports whether a request is refused for lack of capacity. A refusal has no retry delay if even an
// idle endpoint could not meet the deadline.
func isShedForCapacity(r *wigeonshift.Refusal) bool {
	return r.Reason == wigeonshift.ReasonQueueFull || r.Reason == wigeonshift.ReasonDeadlineUnreachable && r.RetryAfter > 0
}

// checkTierOrder checks that no request of a lower tier is running that could have been preempted for a shed request. It
// skips the time after a takeover: a new owner treats its endpoints as full and does not preempt until it knows the
// running attempts, and the preemption window of a request may fall into that time.
func (c *Checker) checkTierOrder(s *requestState, r *wigeonshift.Refusal) {
	if c.draining || c.now.Before(c.rebuildUntil.Add(preemptionWindow)) || c.isLimitedByFingerprint(s) {
		return
	}
	for _, o := range c.inFlight {
		if !o.running || o.revocationPending || o.request.Rank <= s.request.Rank || o.request.NonIdempotent || o.isolated {
			continue
		}
		spec := c.endpoints[o.permit.Endpoint]
		if spec.State == wigeonshift.EndpointLeaving || slices.Contains(s.request.Avoid, o.permit.Endpoint) {
			continue
		}
		if len(spec.Models) > 0 && s.request.Model != "" && !slices.Contains(spec.Models, s.request.Model) {
			continue
		}
		if !c.canMeetDeadline(s, o.permit.Endpoint) {
			continue
		}
		c.addViolation("request %s of tier %d shed (%s) while %s of tier %d runs at %s", s.request.ID, s.request.Rank, r.Reason, o.request.ID, o.request.Rank, o.permit.Endpoint)
		return
	}
}

// isLimitedByFingerprint reports whether a request waits for another reason than capacity: it has to run alone, or its
// fingerprint is in flight on two endpoints already.
func (c *Checker) isLimitedByFingerprint(s *requestState) bool {
	f := s.request.Fingerprint
	if f == 0 {
		return false
	}
	endpoints := map[string]bool{}
	for _, o := range c.inFlight {
		if o.request.Fingerprint == f {
			endpoints[o.permit.Endpoint] = true
		}
	}
	return c.lossCounts[f] > 0 || len(endpoints) >= 2
}

const (
	// deadlineShare is the share of the time to the deadline that a placement may use.
	deadlineShare = 0.95
	// minFirstTokenSeconds is the minimum first-token latency.
	minFirstTokenSeconds = 0.02
)

// canMeetDeadline reports whether an endpoint is expected to meet a request's deadline if the request gets a slot. It
// assumes that the prompt is cached, that pending prompts of the same and higher tiers are computed first, and that the
// response has the expected length and the observed speed.
func (c *Checker) canMeetDeadline(s *requestState, endpoint string) bool {
	if c.Status == nil {
		return true
	}
	for _, e := range c.Status().Endpoints {
		if e.Name != endpoint {
			continue
		}
		seconds := float64(s.request.MaxTokens)*c.OutputShare/e.DecodeTokensPerSecond + c.prefillTokensAhead(s, endpoint)/e.PrefillTokensPerSecond
		return e.Health == "up" && s.request.Deadline.Sub(c.now).Seconds()*deadlineShare > seconds+minFirstTokenSeconds
	}
	return false
}

// prefillTokensAhead returns the number of prompt tokens that an endpoint computes before a request's first token. These
// are the prompts that the request cannot preempt and its own tokens beyond the whole blocks, because only whole blocks
// can be cached.
func (c *Checker) prefillTokensAhead(s *requestState, endpoint string) float64 {
	tokens := s.request.PromptTokens - len(s.request.Prefix)*wigeonshift.PrefixBlockTokens
	for _, o := range c.inFlight {
		if o.permit.Endpoint == endpoint && !o.firstTokenReported && (o.request.Rank <= s.request.Rank || o.request.NonIdempotent) {
			tokens += o.request.PromptTokens
		}
	}
	return float64(tokens)
}

// checkRevocation checks a revocation.
func (c *Checker) checkRevocation(s *requestState, r *wigeonshift.Revocation) {
	id := s.request.ID
	if s.permit == nil || s.permit.Token != r.Token || s.outcomeCount > 0 {
		c.addViolation("revocation of %s without its permit", id)
		return
	}
	switch r.Action {
	case wigeonshift.RevokeResume:
		if !s.paused {
			c.addViolation("request %s resumed without a pause", id)
		}
		s.paused, s.running = false, true
	case wigeonshift.RevokePause, wigeonshift.RevokeCancel:
		if s.request.NonIdempotent {
			c.addViolation("non-idempotent request %s interrupted", id)
		}
		if r.Action == wigeonshift.RevokePause && !c.endpoints[s.permit.Endpoint].CanPause {
			c.addViolation("request %s paused at %s, which cannot pause", id, s.permit.Endpoint)
		}
		s.revocationPending = true
	}
}

// arrivalNumber numbers the arrivals of a request at an owner. Each used permit and each spill raises it.
func arrivalNumber(r *wigeonshift.PermitRequest) int {
	const maxSpills = 16
	return r.Attempt*maxSpills + r.SpillCount
}
