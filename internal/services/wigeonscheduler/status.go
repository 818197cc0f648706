package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// Status returns the owner's view of the shard for operators.
func (s *Shard) Status() wigeonshift.ShardStatus {
	st := wigeonshift.ShardStatus{Shard: s.id, Epoch: s.epoch, LeaseHeld: s.leaseHeld}
	for _, t := range s.tiers {
		st.Tiers = append(st.Tiers, wigeonshift.TierStatus{Rank: t.rank, Queued: t.queued, Running: t.running, Paused: t.paused})
	}
	for _, e := range s.sortedEndpoints {
		st.Endpoints = append(st.Endpoints, wigeonshift.EndpointStatus{
			Name: e.name, Address: e.spec.Address, State: e.spec.State, Health: e.reportedHealth(), Running: e.running,
			Capacity: e.concurrencyLimit(), PrefillTokensPerSecond: e.speed.expectedPrefillRate(), DecodeTokensPerSecond: 1 / e.speed.expectedSecondsPerToken(),
			Models: slices.Clone(e.models),
		})
	}
	return st
}

// reportedHealth is the endpoint's health as shown to operators.
func (e *endpoint) reportedHealth() string {
	if e.probeJob != nil {
		return "probing"
	}
	return e.health.String()
}
