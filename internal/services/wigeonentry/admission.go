package wigeonentry

import (
	"slices"
	"time"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// newRefusal returns the refusal of a request that was not accepted. RetryAfter depends on the reason.
func newRefusal(reason wigeonshift.RefusalReason) *wigeonshift.Refusal {
	r := &wigeonshift.Refusal{Reason: reason, State: wigeonshift.NotRun}
	switch reason {
	case wigeonshift.ReasonShuttingDown:
		r.RetryAfter = retryAfterShutdown
	case wigeonshift.ReasonNotReady, wigeonshift.ReasonTooManyRequests, wigeonshift.ReasonNoEndpoint:
		r.RetryAfter = retryAfterBusy
	}
	return r
}

// admit checks a request against the current configuration. It returns the permit request to send to the shard's owner,
// or a refusal.
func (s *Service) admit(id wigeonshift.RequestID, r Request, now time.Time) (pr wigeonshift.PermitRequest, refusal *wigeonshift.Refusal) {
	if s.draining.Load() {
		return pr, newRefusal(wigeonshift.ReasonShuttingDown)
	}
	rt := s.currentRoutes()
	if rt == nil {
		return pr, newRefusal(wigeonshift.ReasonNotReady)
	}
	product, ok := rt.configuration.Products[r.Product]
	if !ok {
		return pr, newRefusal(wigeonshift.ReasonUnauthenticated)
	}
	organisation, ok := product.Organisations[r.Organisation]
	if !ok {
		return pr, newRefusal(wigeonshift.ReasonUnauthenticated)
	}
	pr = wigeonshift.PermitRequest{ID: id, Product: r.Product, Organisation: r.Organisation}
	if refusal := admitTier(&pr, r, product, organisation, now, s.settings.MaxTimeout); refusal != nil {
		return pr, refusal
	}
	if r.Generate != nil {
		return pr, s.admitGenerate(&pr, rt, product, *r.Generate)
	}
	return pr, s.admitCall(&pr, rt, product, r)
}

// admitTier checks the tier and sets the permit request's tier, rank and deadline.
func admitTier(pr *wigeonshift.PermitRequest, r Request, product wigeonshift.Product, organisation wigeonshift.Organisation,
	now time.Time, maxTimeout time.Duration,
) *wigeonshift.Refusal {
	pr.Tier = r.Tier
	if pr.Tier == "" && len(organisation.Tiers) > 0 {
		pr.Tier = organisation.Tiers[0]
	}
	tier, ok := product.Tiers[pr.Tier]
	if !ok || !slices.Contains(organisation.Tiers, pr.Tier) {
		return newRefusal(wigeonshift.ReasonForbiddenTier)
	}
	pr.Rank = tier.Rank
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = time.Duration(tier.DefaultDeadlineMS) * time.Millisecond
	}
	if timeout <= 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	pr.Deadline = now.Add(timeout)
	return nil
}

// admitGenerate checks a completion and sets the permit request's model, token counts and shard.
func (s *Service) admitGenerate(pr *wigeonshift.PermitRequest, rt *routes, product wigeonshift.Product, g Generate) *wigeonshift.Refusal {
	service, ok := rt.serviceByModel[modelKey{pr.Product, g.Model}]
	if !ok {
		return newRefusal(wigeonshift.ReasonUnknownModel)
	}
	if len(g.Prompt) > s.bodyLimit(product.Services[service]) {
		return newRefusal(wigeonshift.ReasonTooLarge)
	}
	a := s.analyze(g)
	pr.Model = g.Model
	pr.PromptTokens = max(1, a.Tokens)
	pr.MaxTokens = max(1, g.MaxTokens)
	pr.Prefix = a.Prefix
	pr.Fingerprint = a.Fingerprint
	return s.assignShard(pr, rt, service, a)
}

// admitCall checks a call of a plain service. A call with a non-idempotent method needs an idempotency key.
func (s *Service) admitCall(pr *wigeonshift.PermitRequest, rt *routes, product wigeonshift.Product, r Request) *wigeonshift.Refusal {
	service, ok := product.Services[r.Call.Service]
	if !ok || service.Kind != wigeonshift.ServicePlain {
		return newRefusal(wigeonshift.ReasonUnknownService)
	}
	if len(r.Call.Body) > s.bodyLimit(service) {
		return newRefusal(wigeonshift.ReasonTooLarge)
	}
	pr.NonIdempotent = slices.Contains(service.NonIdempotentMethods, r.Call.Method)
	if pr.NonIdempotent && r.IdempotencyKey == "" {
		return newRefusal(wigeonshift.ReasonBadRequest)
	}
	a := Analysis{Fingerprint: callFingerprint(*r.Call)}
	pr.PromptTokens = 1
	pr.MaxTokens = 1
	pr.Fingerprint = a.Fingerprint
	return s.assignShard(pr, rt, r.Call.Service, a)
}

// assignShard sets the permit request's shard, or refuses the request if the service has no shards.
func (s *Service) assignShard(pr *wigeonshift.PermitRequest, rt *routes, service string, a Analysis) *wigeonshift.Refusal {
	shard, ok := rt.chooseShard(serviceKey{pr.Product, service}, a)
	if !ok {
		return newRefusal(wigeonshift.ReasonNoEndpoint)
	}
	pr.Shard = shard
	return nil
}

func (s *Service) bodyLimit(service wigeonshift.Service) int {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return s.settings.MaxBodyBytes
}

// callFingerprint hashes the parts of a call that are sent to its service.
func callFingerprint(c Call) wigeonshift.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.Body)
	return wigeonshift.Fingerprint(d.Sum64())
}

// newClaim returns the claim for a non-idempotent request, and nil for other requests.
func (s *Service) newClaim(pr wigeonshift.PermitRequest, r Request, now time.Time) *wigeonshift.Claim {
	if !pr.NonIdempotent {
		return nil
	}
	return &wigeonshift.Claim{
		Key:         claimKey(pr, r.IdempotencyKey),
		Token:       wigeonshift.AttemptToken(pr.ID),
		Fingerprint: pr.Fingerprint,
		State:       wigeonshift.ClaimHeld,
		At:          now,
		Expires:     now.Add(s.settings.ClaimRetention),
	}
}

// claimKey returns the key of a claim. It is unambiguous because product and organisation names contain no slash.
func claimKey(pr wigeonshift.PermitRequest, key string) string {
	return pr.Product + "/" + pr.Organisation + "/" + key
}
