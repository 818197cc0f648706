package wigeonentry

import (
	"slices"
	"time"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// refused returns a refusal before acceptance, with the advice that fits its reason.
func refused(reason wigeonshift.RefusalReason) *wigeonshift.Refusal {
	r := &wigeonshift.Refusal{Reason: reason, State: wigeonshift.NotRun}
	switch reason {
	case wigeonshift.ReasonShuttingDown:
		r.RetryAfter = retryAfterElsewhere
	case wigeonshift.ReasonNotReady, wigeonshift.ReasonTooMany, wigeonshift.ReasonNoEndpoint:
		r.RetryAfter = retryAfterBusy
	}
	return r
}

// admit checks a request against the configuration in force and makes its question to the owner.
func (s *Service) admit(id wigeonshift.RequestID, r Request, now time.Time) (ask wigeonshift.PermitRequest, refusal *wigeonshift.Refusal) {
	if s.draining.Load() {
		return ask, refused(wigeonshift.ReasonShuttingDown)
	}
	rt := s.currentRoutes()
	if rt == nil {
		return ask, refused(wigeonshift.ReasonNotReady)
	}
	product, ok := rt.configuration.Products[r.Product]
	if !ok {
		return ask, refused(wigeonshift.ReasonUnauthenticated)
	}
	organisation, ok := product.Organisations[r.Organisation]
	if !ok {
		return ask, refused(wigeonshift.ReasonUnauthenticated)
	}
	ask = wigeonshift.PermitRequest{ID: id, Product: r.Product, Organisation: r.Organisation}
	if refusal := admitTier(&ask, r, product, organisation, now, s.settings.MaxTimeout); refusal != nil {
		return ask, refusal
	}
	if r.Generate != nil {
		return ask, s.admitGenerate(&ask, rt, product, *r.Generate)
	}
	return ask, s.admitCall(&ask, rt, product, r)
}

// admitTier fills in the tier and the deadline.
func admitTier(ask *wigeonshift.PermitRequest, r Request, product wigeonshift.Product, organisation wigeonshift.Organisation,
	now time.Time, maxTimeout time.Duration,
) *wigeonshift.Refusal {
	ask.Tier = r.Tier
	if ask.Tier == "" && len(organisation.Tiers) > 0 {
		ask.Tier = organisation.Tiers[0]
	}
	tier, ok := product.Tiers[ask.Tier]
	if !ok || !slices.Contains(organisation.Tiers, ask.Tier) {
		return refused(wigeonshift.ReasonForbiddenTier)
	}
	ask.Rank = tier.Rank
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = time.Duration(tier.DefaultDeadlineMS) * time.Millisecond
	}
	if timeout <= 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	ask.Deadline = now.Add(timeout)
	return nil
}

func (s *Service) admitGenerate(ask *wigeonshift.PermitRequest, rt *routes, product wigeonshift.Product, g Generate) *wigeonshift.Refusal {
	service, ok := rt.services[modelKey{ask.Product, g.Model}]
	if !ok {
		return refused(wigeonshift.ReasonUnknownModel)
	}
	if len(g.Prompt) > s.bodyLimit(product.Services[service]) {
		return refused(wigeonshift.ReasonTooLarge)
	}
	a := s.analyze(g)
	ask.Model = g.Model
	ask.PromptTokens = max(1, a.Tokens)
	ask.MaxTokens = max(1, g.MaxTokens)
	ask.Prefix = a.Prefix
	ask.Fingerprint = a.Fingerprint
	return s.route(ask, rt, service, a)
}

func (s *Service) admitCall(ask *wigeonshift.PermitRequest, rt *routes, product wigeonshift.Product, r Request) *wigeonshift.Refusal {
	service, ok := product.Services[r.Call.Service]
	if !ok || service.Kind != wigeonshift.ServicePlain {
		return refused(wigeonshift.ReasonUnknownService)
	}
	if len(r.Call.Body) > s.bodyLimit(service) {
		return refused(wigeonshift.ReasonTooLarge)
	}
	ask.NonIdempotent = slices.Contains(service.NonIdempotentMethods, r.Call.Method)
	if ask.NonIdempotent && r.IdempotencyKey == "" {
		return refused(wigeonshift.ReasonBadRequest)
	}
	a := Analysis{Fingerprint: callFingerprint(*r.Call)}
	ask.PromptTokens = 1
	ask.MaxTokens = 1
	ask.Fingerprint = a.Fingerprint
	return s.route(ask, rt, r.Call.Service, a)
}

func (s *Service) route(ask *wigeonshift.PermitRequest, rt *routes, service string, a Analysis) *wigeonshift.Refusal {
	shard, ok := rt.shard(serviceKey{ask.Product, service}, a)
	if !ok {
		return refused(wigeonshift.ReasonNoEndpoint)
	}
	ask.Shard = shard
	return nil
}

func (s *Service) bodyLimit(service wigeonshift.Service) int {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return s.settings.MaxBodyBytes
}

// callFingerprint hashes everything of a call that its service sees.
func callFingerprint(c Call) wigeonshift.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.Body)
	return wigeonshift.Fingerprint(d.Sum64())
}

// newClaim returns the claim of a non-idempotent request, nil for others.
func (s *Service) newClaim(ask wigeonshift.PermitRequest, r Request, now time.Time) *wigeonshift.Claim {
	if !ask.NonIdempotent {
		return nil
	}
	return &wigeonshift.Claim{
		Key:         claimKey(ask, r.IdempotencyKey),
		Token:       wigeonshift.AttemptToken(ask.ID),
		Fingerprint: ask.Fingerprint,
		State:       wigeonshift.ClaimHeld,
		At:          now,
		Expires:     now.Add(s.settings.ClaimRetention),
	}
}

// claimKey names a claim. Product and organisation hold no slash.
func claimKey(ask wigeonshift.PermitRequest, key string) string {
	return ask.Product + "/" + ask.Organisation + "/" + key
}
