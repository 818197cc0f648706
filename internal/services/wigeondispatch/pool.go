package wigeondispatch

import (
	"sort"
	"time"

	"wigeonshift"
)

// pool is one service with its endpoints and the requests that wait for them.
type pool struct {
	name    string
	profile *wigeonshift.EngineProfile
	// endpoints are ordered by id, so that equal choices are made alike on every run.
	endpoints []*endpoint
	queue     queue
	// meanTime is a moving average of the time that a request keeps its slot.
	meanTime time.Duration
	// costs holds the mean cost of the requests of each route.
	costs map[string]time.Duration
	// meanCost is the mean cost of all requests.
	meanCost time.Duration
}

// eventTokens is the number of tokens in one event of a stream.
func (p *pool) eventTokens() int {
	if p.profile == nil || p.profile.EventTokens <= 0 {
		return 1
	}
	return p.profile.EventTokens
}

// typicalSpeed returns the mean of the endpoints' speeds.
func (p *pool) typicalSpeed() (step, prefill, plain time.Duration) {
	n := time.Duration(len(p.endpoints))
	if n == 0 {
		return defaultStepTime, defaultPrefillTime, defaultPlainTime
	}
	for _, e := range p.endpoints {
		step += e.step
		prefill += e.prefill
		plain += e.plain
	}
	return step / n, prefill / n, plain / n
}

// typicalFirst is the time to the first event of a request on a busy endpoint of the usual speed.
func (p *pool) typicalFirst(j *Job) time.Duration {
	step, prefill, plain := p.typicalSpeed()
	if !j.HasTokens {
		return plain
	}
	return busyPrefill*prefill*time.Duration(j.PromptTokens) + step*time.Duration(p.eventTokens())
}

// busyPrefill is how much longer a prompt takes beside the prompts and tokens of other requests.
const busyPrefill = 2

// sorted puts the endpoints in order.
func (p *pool) sorted() {
	sort.Slice(p.endpoints, func(i, k int) bool { return p.endpoints[i].record.ID < p.endpoints[k].record.ID })
}

// freeSlots is the number of requests that would run at once on the endpoints of the own group.
func (p *pool) freeSlots(at time.Duration) int {
	n := 0
	for _, e := range p.endpoints {
		if e.usable(at) && !e.foreign {
			n += max(e.slots()-e.running(), 0)
		}
	}
	return n
}

// throughput is the number of requests that the endpoints of the own group end in a second.
func (p *pool) throughput(at time.Duration) float64 {
	slots := 0
	for _, e := range p.endpoints {
		if e.usable(at) && !e.foreign {
			slots += e.slots()
		}
	}
	mean := p.meanTime
	if mean <= 0 {
		mean = defaultPlainTime
	}
	return float64(slots) / mean.Seconds()
}
