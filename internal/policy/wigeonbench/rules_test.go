package wigeonbench

import (
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// answer checks one answer.
func (c *Checker) answer(f wigeonscheduler.AnswerPermit) {
	s := c.requests[f.Request]
	if s == nil {
		c.fail("answer to the unknown request %s", f.Request)
		return
	}
	switch a := f.Answer; {
	case a.Grant != nil:
		c.granted(s, a.Grant)
	case a.Refuse != nil:
		c.refused(s, a.Refuse)
	case a.Revoke != nil:
		c.revoked(s, a.Revoke)
	case a.Spill != nil:
		if s.outcomes > 0 || s.running {
			c.fail("request %s spilled after its end or grant", s.request.ID)
		}
		c.end(s)
	}
}

// granted checks a grant.
func (c *Checker) granted(s *shadow, p *wigeonshift.Permit) {
	id := s.request.ID
	if s.permit != nil && s.permit.Token == p.Token {
		return
	}
	spec, known := c.endpoints[p.Endpoint]
	switch {
	case s.outcomes > 0:
		c.fail("request %s granted after its end", id)
	case s.permit != nil:
		c.fail("request %s granted twice", id)
	case p.Epoch != c.epoch:
		c.fail("request %s granted with epoch %d in epoch %d", id, p.Epoch, c.epoch)
	case c.draining || c.now.Before(c.rebuild):
		c.fail("request %s granted while draining or rebuilding", id)
	case !known || spec.State == wigeonshift.EndpointLeaving:
		c.fail("request %s granted to %s, which is leaving", id, p.Endpoint)
	case !s.request.Deadline.IsZero() && s.request.Deadline.Before(c.now):
		c.fail("request %s granted after its deadline", id)
	case slices.Contains(s.request.Avoid, p.Endpoint):
		c.fail("request %s granted to %s again", id, p.Endpoint)
	}
	c.checkFingerprint(s, p)
	s.permit, s.running, s.started = p, true, false
	c.live = append(c.live, s)
	c.checkLimits(s, spec)
}

// checkFingerprint checks that a suspect runs alone and that nothing joins it.
func (c *Checker) checkFingerprint(s *shadow, p *wigeonshift.Permit) {
	f := s.request.Fingerprint
	if f != 0 && (c.losses[f] >= 2 || c.loaded[f]) {
		c.fail("request %s granted although two endpoints were lost with its fingerprint", s.request.ID)
	}
	s.alone = f != 0 && c.losses[f] == 1
	endpoints := map[string]bool{p.Endpoint: true}
	for _, o := range c.live {
		if o == s {
			continue
		}
		if f != 0 && o.request.Fingerprint == f {
			endpoints[o.permit.Endpoint] = true
		}
		if o.permit.Endpoint != p.Endpoint {
			continue
		}
		if s.alone {
			c.fail("suspect request %s granted beside %s", s.request.ID, o.request.ID)
		}
		if o.alone {
			c.fail("request %s granted beside the suspect %s", s.request.ID, o.request.ID)
		}
	}
	if len(endpoints) > 2 {
		c.fail("fingerprint of %s is in flight at %d endpoints", s.request.ID, len(endpoints))
	}
}

// checkLimits checks the configured bounds of the endpoint and the organisation.
func (c *Checker) checkLimits(s *shadow, spec wigeonshift.EndpointSpec) {
	atEndpoint, ofOrganisation := 0, 0
	for _, o := range c.live {
		if !o.running {
			continue
		}
		if o.permit.Endpoint == s.permit.Endpoint && !o.yielding {
			atEndpoint++
		}
		if o.request.Organisation == s.request.Organisation {
			ofOrganisation++
		}
	}
	if spec.MaxConcurrent > 0 && atEndpoint > spec.MaxConcurrent {
		c.fail("endpoint %s runs %d of at most %d", s.permit.Endpoint, atEndpoint, spec.MaxConcurrent)
	}
	if c.product == nil {
		return
	}
	if limit := c.product.Organisations[s.request.Organisation].MaxConcurrent; limit > 0 && ofOrganisation > limit {
		c.fail("organisation %s runs %d of at most %d", s.request.Organisation, ofOrganisation, limit)
	}
}

// refused checks a refusal.
func (c *Checker) refused(s *shadow, r *wigeonshift.Refusal) {
	if s.outcomes > 0 {
		c.fail("request %s refused after its end", s.request.ID)
		return
	}
	if s.permit != nil && (s.running || s.started) && r.State == wigeonshift.NotRun {
		c.fail("request %s refused as not run although it has a permit", s.request.ID)
	}
	if shedForCapacity(r) {
		c.checkTierOrder(s, r)
	}
	c.end(s)
}

// shedForCapacity tells whether a refusal is for want of capacity. A deadline that even an idle endpoint cannot meet
// comes without advice to try again.
func shedForCapacity(r *wigeonshift.Refusal) bool {
	return r.Reason == wigeonshift.ReasonQueueFull || r.Reason == wigeonshift.ReasonDeadline && r.RetryAfter > 0
}

// checkTierOrder checks that nothing of a lower tier runs that could have given way to a shed request. A new owner
// counts its endpoints as full until it knows what runs, and interrupts nothing; a request's last chance may fall into
// that time.
func (c *Checker) checkTierOrder(s *shadow, r *wigeonshift.Refusal) {
	if c.draining || c.now.Before(c.rebuild.Add(lastChance)) || c.confined(s) {
		return
	}
	for _, o := range c.live {
		if !o.running || o.yielding || o.request.Rank <= s.request.Rank || o.request.NonIdempotent || o.alone {
			continue
		}
		spec := c.endpoints[o.permit.Endpoint]
		if spec.State == wigeonshift.EndpointLeaving || slices.Contains(s.request.Avoid, o.permit.Endpoint) {
			continue
		}
		if len(spec.Models) > 0 && s.request.Model != "" && !slices.Contains(spec.Models, s.request.Model) {
			continue
		}
		if !c.couldServe(s, o.permit.Endpoint) {
			continue
		}
		c.fail("request %s of tier %d shed (%s) while %s of tier %d runs at %s", s.request.ID, s.request.Rank, r.Reason, o.request.ID, o.request.Rank, o.permit.Endpoint)
		return
	}
}

// confined tells whether a request waits for another reason than capacity: it has to run alone, or its fingerprint is
// in flight at two endpoints already.
func (c *Checker) confined(s *shadow) bool {
	f := s.request.Fingerprint
	if f == 0 {
		return false
	}
	endpoints := map[string]bool{}
	for _, o := range c.live {
		if o.request.Fingerprint == f {
			endpoints[o.permit.Endpoint] = true
		}
	}
	return c.losses[f] > 0 || len(endpoints) >= 2
}

// plannedShare is the part of the time to a deadline that may be planned with, firstStep the least time to a first
// token in seconds.
const (
	plannedShare = 0.95
	firstStep    = 0.02
)

// couldServe tells whether an endpoint could be expected to answer a request in time, had its slot been given: the
// prompt wholly cached, behind the prompts of its own and higher tiers, and an answer of the expected length at the
// observed pace.
func (c *Checker) couldServe(s *shadow, endpoint string) bool {
	if c.Status == nil {
		return true
	}
	for _, e := range c.Status().Endpoints {
		if e.Name != endpoint {
			continue
		}
		seconds := float64(s.request.MaxTokens)*c.AnswerShare/e.DecodeTokensPerSecond + c.promptsBefore(s, endpoint)/e.PrefillTokensPerSecond
		return e.Health == "up" && s.request.Deadline.Sub(c.now).Seconds()*plannedShare > seconds+firstStep
	}
	return false
}

// promptsBefore is the number of prompt tokens that an endpoint computes before a request's first token: those that do
// not give way to it, and its own beyond the blocks that may be cached.
func (c *Checker) promptsBefore(s *shadow, endpoint string) float64 {
	tokens := s.request.PromptTokens - len(s.request.Prefix)*wigeonshift.PrefixBlockTokens
	for _, o := range c.live {
		if o.permit.Endpoint == endpoint && !o.answering && (o.request.Rank <= s.request.Rank || o.request.NonIdempotent) {
			tokens += o.request.PromptTokens
		}
	}
	return float64(tokens)
}

// revoked checks a revocation.
func (c *Checker) revoked(s *shadow, r *wigeonshift.Revocation) {
	id := s.request.ID
	if s.permit == nil || s.permit.Token != r.Token || s.outcomes > 0 {
		c.fail("revocation of %s without its permit", id)
		return
	}
	switch r.Action {
	case wigeonshift.RevokeResume:
		if !s.paused {
			c.fail("request %s resumed without a pause", id)
		}
		s.paused, s.running = false, true
	case wigeonshift.RevokePause, wigeonshift.RevokeCancel:
		if s.request.NonIdempotent {
			c.fail("non-idempotent request %s interrupted", id)
		}
		if r.Action == wigeonshift.RevokePause && !c.endpoints[s.permit.Endpoint].CanPause {
			c.fail("request %s paused at %s, which cannot pause", id, s.permit.Endpoint)
		}
		s.yielding = true
	}
}

// visitOf orders the times that a request comes to an owner.
func visitOf(r *wigeonshift.PermitRequest) int {
	const maxSpills = 16
	return r.Attempt*maxSpills + r.Spills
}
