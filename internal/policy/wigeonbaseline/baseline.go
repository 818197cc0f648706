// Package wigeonbaseline holds the ordinary policies that the scheduler is measured against. Each dispatches every
// request at once, in the order of arrival, and knows no tiers, deadlines or organisations; an endpoint that refused
// a connection or was lost is left out until its next load report. All of them see the same events as the scheduler.
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
	// PrefixAffinity is least outstanding among the endpoints with the longest known prefix, as long as such an endpoint
	// has at most affinitySlack more requests outstanding than the least loaded one. It knows prefixes from its own
	// dispatches and from the cache events.
	PrefixAffinity = "prefixAffinity"
)

// Names lists the baselines.
var Names = []string{RoundRobin, LeastOutstanding, Random, PrefixAffinity}

// affinitySlack is how many more requests an endpoint that holds the prefix may have outstanding.
const affinitySlack = 4

// Baseline is one ordinary policy.
type Baseline struct {
	name      string
	shard     wigeonshift.ShardID
	endpoints []*target
	// where holds the endpoint of each request in flight.
	where map[wigeonshift.RequestID]*target
	next  int
	seq   uint64
}

// target is an endpoint as a baseline sees it.
type target struct {
	name        string
	address     string
	models      []string
	outstanding int
	down        bool
	downAt      int64
	blocks      map[wigeonshift.BlockHash]bool
}

// New returns a baseline by name, nil for an unknown one.
func New(name string, shard wigeonshift.ShardID) *Baseline {
	if !slices.Contains(Names, name) {
		return nil
	}
	return &Baseline{name: name, shard: shard, where: map[wigeonshift.RequestID]*target{}}
}

// Handle answers an event.
func (b *Baseline) Handle(ev wigeonscheduler.Event) []wigeonscheduler.Effect {
	switch body := ev.Body.(type) {
	case wigeonscheduler.ConfigurationChanged:
		b.configure(body)
	case wigeonscheduler.PermitRequested:
		return b.request(ev, body)
	case wigeonscheduler.PermitCancelled:
		b.release(body.Request)
	case wigeonscheduler.AttemptReported:
		b.report(ev, body.Report)
	case wigeonscheduler.LoadReported:
		b.load(body)
	case wigeonscheduler.CacheReported:
		b.cache(body)
	}
	return nil
}

// configure takes the endpoints over.
func (b *Baseline) configure(c wigeonscheduler.ConfigurationChanged) {
	b.endpoints = nil
	for name, spec := range c.Endpoints {
		b.endpoints = append(b.endpoints, &target{
			name: name, address: spec.Address, models: spec.Models, blocks: map[wigeonshift.BlockHash]bool{},
		})
	}
	slices.SortFunc(b.endpoints, func(x, y *target) int { return strings.Compare(x.name, y.name) })
}

// request dispatches a request at once.
func (b *Baseline) request(ev wigeonscheduler.Event, body wigeonscheduler.PermitRequested) []wigeonscheduler.Effect {
	t := b.choose(ev, &body.Request)
	if t == nil {
		return []wigeonscheduler.Effect{wigeonscheduler.AnswerPermit{Entry: body.Entry, Request: body.Request.ID, Answer: wigeonshift.PermitAnswer{
			Refuse: &wigeonshift.Refusal{Reason: wigeonshift.ReasonNoEndpoint, State: wigeonshift.NotRun},
		}}}
	}
	b.release(body.Request.ID)
	b.where[body.Request.ID] = t
	t.outstanding++
	for _, hash := range body.Request.Prefix {
		t.blocks[hash] = true
	}
	b.seq++
	return []wigeonscheduler.Effect{wigeonscheduler.AnswerPermit{Entry: body.Entry, Request: body.Request.ID, Answer: wigeonshift.PermitAnswer{
		Grant: &wigeonshift.Permit{
			Request: body.Request.ID, Shard: b.shard, Epoch: 1, Endpoint: t.name, Address: t.address,
			Token: wigeonshift.AttemptToken("b" + strconv.FormatUint(b.seq, 10)), UseBefore: body.Request.Deadline,
		},
	}}}
}

// choose picks an endpoint.
func (b *Baseline) choose(ev wigeonscheduler.Event, r *wigeonshift.PermitRequest) *target {
	var fit []*target
	for _, t := range b.endpoints {
		if !t.down && (r.Model == "" || slices.Contains(t.models, r.Model)) && !slices.Contains(r.Avoid, t.name) {
			fit = append(fit, t)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	switch b.name {
	case RoundRobin:
		b.next++
		return fit[b.next%len(fit)]
	case Random:
		return fit[ev.Random%uint64(len(fit))]
	case PrefixAffinity:
		if t := longestPrefix(fit, r.Prefix); t != nil {
			return t
		}
	}
	return least(fit)
}

// least returns the endpoint with the fewest requests outstanding.
func least(fit []*target) *target {
	best := fit[0]
	for _, t := range fit {
		if t.outstanding < best.outstanding {
			best = t
		}
	}
	return best
}

// longestPrefix returns the endpoint that is known to hold most of a prompt, nil when none holds any of it or those
// that do are too busy.
func longestPrefix(fit []*target, prefix []wigeonshift.BlockHash) *target {
	bound := least(fit).outstanding + affinitySlack
	var best *target
	longest := 0
	for _, t := range fit {
		n := 0
		for n < len(prefix) && t.blocks[prefix[n]] {
			n++
		}
		if n > longest && t.outstanding <= bound || n == longest && best != nil && t.outstanding < best.outstanding {
			best, longest = t, n
		}
	}
	return best
}

// report ends what a report says has ended.
func (b *Baseline) report(ev wigeonscheduler.Event, r wigeonshift.AttemptReport) {
	t := b.where[r.Request]
	switch r.State {
	case wigeonshift.AttemptLost, wigeonshift.AttemptNotRun:
		if t != nil {
			t.down, t.downAt = true, ev.At.UnixNano()
			t.blocks = map[wigeonshift.BlockHash]bool{}
		}
		b.release(r.Request)
	case wigeonshift.AttemptFinished, wigeonshift.AttemptCancelled, wigeonshift.AttemptFailed:
		b.release(r.Request)
	}
}

// release counts a request as ended.
func (b *Baseline) release(id wigeonshift.RequestID) {
	if t := b.where[id]; t != nil {
		t.outstanding--
		delete(b.where, id)
	}
}

// load takes an endpoint back that reported after it was lost.
func (b *Baseline) load(l wigeonscheduler.LoadReported) {
	for _, t := range b.endpoints {
		if t.name == l.Endpoint {
			t.models = l.Report.Models
			if l.Report.TakenAt.UnixNano() > t.downAt {
				t.down = false
			}
		}
	}
}

// cache follows an endpoint's cache events.
func (b *Baseline) cache(c wigeonscheduler.CacheReported) {
	for _, t := range b.endpoints {
		if t.name != c.Endpoint {
			continue
		}
		for _, ev := range c.Batch.Events {
			for _, hash := range ev.Blocks {
				if ev.Kind == wigeonshift.CacheStored {
					t.blocks[hash] = true
				} else {
					delete(t.blocks, hash)
				}
			}
		}
	}
}
