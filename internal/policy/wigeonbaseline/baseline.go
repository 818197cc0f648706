// Package wigeonbaseline implements common load balancing policies that the scheduler is benchmarked against.
//
// A baseline receives the same events as the scheduler. It dispatches each request immediately in the order of arrival
// and ignores tiers, deadlines and organisations. It skips an endpoint that refused a connection or was lost until the
// endpoint's next load report.
package wigeonbaseline

import (
	"slices"
	"strconv"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// Names of the baselines.
const (
	RoundRobin       = "roundRobin"
	LeastOutstanding = "leastOutstanding"
	Random           = "random"
	// PrefixAffinity chooses the endpoint that has cached the longest prefix of the prompt, and of several with the same
	// length the one with the fewest outstanding requests. It skips endpoints that exceed maxExtraOutstanding. If none
	// is left, it falls back to LeastOutstanding. It knows the caches from its own dispatches and the cache events.
	PrefixAffinity = "prefixAffinity"
)

// Names lists the names of the baselines.
var Names = []string{RoundRobin, LeastOutstanding, Random, PrefixAffinity}

// maxExtraOutstanding is the number of outstanding requests by which an endpoint with a cached prefix may exceed the
// least loaded endpoint.
const maxExtraOutstanding = 4

// Baseline is a load balancing policy for one shard.
type Baseline struct {
	name      string
	shard     wigeonshift.ShardID
	endpoints []*endpoint
	// inFlight holds the endpoint of each request in flight.
	inFlight        map[wigeonshift.RequestID]*endpoint
	roundRobinIndex int
	// lastTokenNumber makes the attempt tokens of permits unique.
	lastTokenNumber uint64
}

// endpoint is the state that a baseline keeps for an endpoint.
type endpoint struct {
	name                     string
	address                  string
	models                   []string
	outstanding              int
	unavailable              bool
	unavailableSinceUnixNano int64
	cachedBlocks             map[wigeonshift.BlockHash]bool
}

// New returns the named baseline, or nil if the name is unknown.
func New(name string, shard wigeonshift.ShardID) *Baseline {
	if !slices.Contains(Names, name) {
		return nil
	}
	return &Baseline{name: name, shard: shard, inFlight: map[wigeonshift.RequestID]*endpoint{}}
}

// Handle updates the baseline with an event and returns the resulting effects.
func (b *Baseline) Handle(ev wigeonscheduler.Event) []wigeonscheduler.Effect {
	switch body := ev.Body.(type) {
	case wigeonscheduler.ConfigurationChanged:
		b.handleConfigurationChange(body)
	case wigeonscheduler.PermitRequested:
		return b.handlePermitRequest(ev, body)
	case wigeonscheduler.PermitCancelled:
		b.release(body.Request)
	case wigeonscheduler.AttemptReported:
		b.handleAttemptReport(ev, body.Report)
	case wigeonscheduler.LoadReported:
		b.handleLoadReport(body)
	case wigeonscheduler.CacheReported:
		b.handleCacheReport(body)
	}
	return nil
}

// handleConfigurationChange replaces the endpoints and resets their state.
func (b *Baseline) handleConfigurationChange(c wigeonscheduler.ConfigurationChanged) {
	b.endpoints = nil
	for name, spec := range c.Endpoints {
		b.endpoints = append(b.endpoints, &endpoint{
			name: name, address: spec.Address, models: spec.Models, cachedBlocks: map[wigeonshift.BlockHash]bool{},
		})
	}
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return strings.Compare(x.name, y.name) })
}

// handlePermitRequest grants a permit immediately, or refuses the request if no endpoint is available.
func (b *Baseline) handlePermitRequest(ev wigeonscheduler.Event, body wigeonscheduler.PermitRequested) []wigeonscheduler.Effect {
	e := b.chooseEndpoint(ev, &body.Request)
	if e == nil {
		return []wigeonscheduler.Effect{wigeonscheduler.AnswerPermit{Entry: body.Entry, Request: body.Request.ID, Answer: wigeonshift.PermitAnswer{
			Refuse: &wigeonshift.Refusal{Reason: wigeonshift.ReasonNoEndpoint, State: wigeonshift.NotRun},
		}}}
	}
	b.release(body.Request.ID)
	b.inFlight[body.Request.ID] = e
	e.outstanding++
	for _, hash := range body.Request.Prefix {
		e.cachedBlocks[hash] = true
	}
	b.lastTokenNumber++
	return []wigeonscheduler.Effect{wigeonscheduler.AnswerPermit{Entry: body.Entry, Request: body.Request.ID, Answer: wigeonshift.PermitAnswer{
		Grant: &wigeonshift.Permit{
			Request: body.Request.ID, Shard: b.shard, Epoch: 1, Endpoint: e.name, Address: e.address,
			Token: wigeonshift.AttemptToken("b" + strconv.FormatUint(b.lastTokenNumber, 10)), ExpiresAt: body.Request.Deadline,
		},
	}}}
}

// chooseEndpoint chooses among the available endpoints that have the model and are not to be avoided. It returns nil
// if there is none.
func (b *Baseline) chooseEndpoint(ev wigeonscheduler.Event, r *wigeonshift.PermitRequest) *endpoint {
	var candidates []*endpoint
	for _, e := range b.endpoints {
		if !e.unavailable && (r.Model == "" || slices.Contains(e.models, r.Model)) && !slices.Contains(r.Avoid, e.name) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	switch b.name {
	case RoundRobin:
		b.roundRobinIndex++
		return candidates[b.roundRobinIndex%len(candidates)]
	case Random:
		return candidates[ev.Random%uint64(len(candidates))]
	case PrefixAffinity:
		if e := longestPrefixMatch(candidates, r.Prefix); e != nil {
			return e
		}
	}
	return leastOutstanding(candidates)
}

// leastOutstanding returns the candidate with the fewest outstanding requests.
func leastOutstanding(candidates []*endpoint) *endpoint {
	best := candidates[0]
	for _, e := range candidates {
		if e.outstanding < best.outstanding {
			best = e
		}
	}
	return best
}

// longestPrefixMatch returns the candidate with the longest cached prefix of a prompt, without the candidates that are
// too busy. It returns nil if none has cached any of the prompt.
func longestPrefixMatch(candidates []*endpoint, prefix []wigeonshift.BlockHash) *endpoint {
	maxOutstanding := leastOutstanding(candidates).outstanding + maxExtraOutstanding
	var best *endpoint
	bestBlocks := 0
	for _, e := range candidates {
		blocks := 0
		for blocks < len(prefix) && e.cachedBlocks[prefix[blocks]] {
			blocks++
		}
		if blocks > bestBlocks && e.outstanding <= maxOutstanding || blocks == bestBlocks && best != nil && e.outstanding < best.outstanding {
			best, bestBlocks = e, blocks
		}
	}
	return best
}

// handleAttemptReport releases a request whose attempt has ended. If the endpoint refused the connection or was lost,
// it also marks the endpoint as unavailable with an empty cache.
func (b *Baseline) handleAttemptReport(ev wigeonscheduler.Event, r wigeonshift.AttemptReport) {
	e := b.inFlight[r.Request]
	switch r.State {
	case wigeonshift.AttemptLost, wigeonshift.AttemptNotRun:
		if e != nil {
			e.unavailable, e.unavailableSinceUnixNano = true, ev.At.UnixNano()
			e.cachedBlocks = map[wigeonshift.BlockHash]bool{}
		}
		b.release(r.Request)
	case wigeonshift.AttemptFinished, wigeonshift.AttemptCancelled, wigeonshift.AttemptFailed:
		b.release(r.Request)
	}
}

// release removes a request from those in flight.
func (b *Baseline) release(id wigeonshift.RequestID) {
	if e := b.inFlight[id]; e != nil {
		e.outstanding--
		delete(b.inFlight, id)
	}
}

// handleLoadReport updates an endpoint's models. It marks the endpoint as available if the report was taken after the
// endpoint became unavailable.
func (b *Baseline) handleLoadReport(l wigeonscheduler.LoadReported) {
	for _, e := range b.endpoints {
		if e.name == l.Endpoint {
			e.models = l.Report.Models
			if l.Report.TakenAt.UnixNano() > e.unavailableSinceUnixNano {
				e.unavailable = false
			}
		}
	}
}

// handleCacheReport applies an endpoint's cache events.
func (b *Baseline) handleCacheReport(c wigeonscheduler.CacheReported) {
	for _, e := range b.endpoints {
		if e.name != c.Endpoint {
			continue
		}
		for _, ev := range c.Batch.Events {
			for _, hash := range ev.Blocks {
				if ev.Kind == wigeonshift.CacheStored {
					e.cachedBlocks[hash] = true
				} else {
					delete(e.cachedBlocks, hash)
				}
			}
		}
	}
}
