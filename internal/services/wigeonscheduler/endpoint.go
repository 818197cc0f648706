package wigeonscheduler

import (
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// health is an owner's judgement of an endpoint.
type health uint8

const (
	healthUp health = iota
	// healthDown endpoints get nothing but probes.
	healthDown
	// healthStraggler endpoints get one request at a time, when a probe is due, while others are up.
	healthStraggler
)

// String returns the name that operators see.
func (h health) String() string {
	switch h {
	case healthDown:
		return "down"
	case healthStraggler:
		return "straggler"
	default:
		return "up"
	}
}

// endpoint is one back end of the shard.
type endpoint struct {
	name string
	// index is the endpoint's place in the prefix index; it is unique in the shard and reused only after removal.
	index  int
	spec   wigeonshift.EndpointSpec
	models []string
	health health
	// removed is set when the configuration no longer names the endpoint while requests still run on it.
	removed bool
	// draining is set when the endpoint itself said so.
	draining    bool
	incarnation string

	// jobs are all jobs with a permit here, paused ones included.
	jobs []*job
	// running counts jobs that hold a slot, yielding those of them that were asked to give it up.
	running  int
	yielding int
	paused   int
	// pendingPrefill is the predicted number of prompt tokens still to compute.
	pendingPrefill int
	// pendingLong counts long prefills among them.
	pendingLong int

	capacity float64
	speed    speed
	cache    *prefixCache

	// probeAt is the time of the next probe of an endpoint that is not up.
	probeAt time.Time
	// probing is set while a probe's answer is awaited.
	probing bool
	// crash numbers the endpoint's losses; an attempt knows the number it was granted under.
	crash int
	// reserved is the suspect request that waits for the endpoint to fall idle.
	reserved *job
	// probe is the request that shows whether a straggler has recovered.
	probe *job
	// probeEvery is the time until the probe after the next.
	probeEvery time.Duration
	// delay compares the endpoint's first tokens with their expectation.
	delay delayRatio
	// boundedAt is the time at which an overdue first token last cut the capacity.
	boundedAt time.Time
	// heardAt is the time of the last first token or whole answer from the endpoint.
	heardAt time.Time
	// lostAt is the time of the last loss; zero once it proved to be the connection's.
	lostAt time.Time
	// lostIncarnation is the incarnation under which the lost attempt was granted, empty when not known.
	lostIncarnation string
	// batchLimit is the number of streams that the engine itself was seen to run while others waited; 0 if never.
	batchLimit float64
	// waitingReports counts load reports in a row with requests waiting, waitingRunning is the most that ran in them.
	waitingReports, waitingRunning int
	// order is the state of orders to the endpoint.
	order orderState
}

// configurationChanged brings the shard's endpoints up to a version; an older one is ignored.
func (s *Shard) configurationChanged(c ConfigurationChanged) {
	if c.Version < s.version {
		return
	}
	s.version, s.product = c.Version, c.Product
	for name, spec := range c.Endpoints {
		s.configureEndpoint(name, spec)
	}
	for _, e := range slices.Clone(s.ordered) {
		if _, ok := c.Endpoints[e.name]; !ok {
			e.removed = true
			s.dropEndpoint(e)
		}
	}
	for _, o := range s.organisations {
		o.change(func() {
			o.spec = wigeonshift.Organisation{}
			if c.Product != nil {
				o.spec = c.Product.Organisations[o.name]
			}
		})
	}
	slices.SortFunc(s.ordered, func(a, b *endpoint) int { return strings.Compare(a.name, b.name) })
	s.assignIndexes()
	s.unblock()
}

// configureEndpoint adds an endpoint or changes its spec.
func (s *Shard) configureEndpoint(name string, spec wigeonshift.EndpointSpec) {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, index: -1, models: slices.Clone(spec.Models), capacity: float64(s.settings.InitialCapacity)}
		s.endpoints[name] = e
		s.ordered = append(s.ordered, e)
	}
	if !slices.Equal(e.spec.Models, spec.Models) {
		e.models = slices.Clone(spec.Models)
	}
	if e.spec.Address != spec.Address {
		e.health = healthUp
		e.speed = speed{}
	}
	e.spec, e.removed = spec, false
	if spec.MaxConcurrent > 0 {
		e.capacity = float64(spec.MaxConcurrent)
	}
}

// assignIndexes gives every new endpoint the lowest free place in the prefix index.
func (s *Shard) assignIndexes() {
	used := make([]bool, len(s.ordered)+1)
	for _, e := range s.ordered {
		if e.index >= 0 && e.index < len(used) {
			used[e.index] = true
		}
	}
	next := 0
	for _, e := range s.ordered {
		if e.index >= 0 {
			continue
		}
		for used[next] {
			next++
		}
		used[next] = true
		e.index = next
		e.cache = s.prefixes.newCache(e.index)
	}
}

// dropEndpoint forgets a removed endpoint on which nothing runs.
func (s *Shard) dropEndpoint(e *endpoint) {
	if !e.removed || len(e.jobs) > 0 {
		return
	}
	delete(s.endpoints, e.name)
	s.ordered = slices.DeleteFunc(s.ordered, func(o *endpoint) bool { return o == e })
	if e.cache != nil {
		e.cache.clear()
	}
}

// open reports whether the endpoint may get new work of any kind.
func (e *endpoint) open() bool {
	return !e.removed && !e.draining && e.spec.State != wigeonshift.EndpointLeaving && e.health != healthDown
}

// serves reports whether the endpoint has a model loaded; plain services name none.
func (e *endpoint) serves(model string) bool {
	return model == "" || slices.Contains(e.models, model)
}

// limit is the number of dispatches the endpoint takes at once.
func (e *endpoint) limit() int {
	if e.spec.MaxConcurrent > 0 {
		return e.spec.MaxConcurrent
	}
	return max(1, int(e.capacity))
}

// free is the number of slots open to new work.
func (e *endpoint) free() int {
	return e.limit() - (e.running - e.yielding)
}

// attach gives a job a slot on the endpoint.
func (s *Shard) attach(j *job, e *endpoint) {
	j.endpoint = e
	j.organisation.permits++
	e.jobs = append(e.jobs, j)
	s.takeSlot(j)
}

// takeSlot counts a job as running.
func (s *Shard) takeSlot(j *job) {
	if j.slot {
		return
	}
	j.slot = true
	j.endpoint.running++
	j.organisation.change(func() { j.organisation.running++ })
	s.tierOf(j.rank()).running++
}

// releaseSlot counts a job as not running any more.
func (s *Shard) releaseSlot(j *job) {
	if !j.slot {
		return
	}
	j.slot = false
	if j.state == jobPausing || j.state == jobCancelling {
		j.endpoint.yielding--
	}
	j.endpoint.running--
	j.organisation.change(func() { j.organisation.running-- })
	s.tierOf(j.rank()).running--
	s.unblock()
}

// addPrefill counts a job's prompt as pending at its endpoint.
func (s *Shard) addPrefill(j *job) {
	j.prefill = true
	j.endpoint.pendingPrefill += j.uncached
	if s.long(j.uncached) {
		j.endpoint.pendingLong++
	}
}

// endPrefill counts a job's prompt as done or given up.
func (s *Shard) endPrefill(j *job) {
	if !j.prefill {
		return
	}
	j.prefill = false
	j.endpoint.pendingPrefill -= j.uncached
	if s.long(j.uncached) {
		j.endpoint.pendingLong--
	}
	s.unblock()
}

// long reports whether a prefill of this many tokens is kept apart from short ones.
func (s *Shard) long(tokens int) bool {
	return tokens >= s.settings.LongPromptTokens
}

// detach takes a job off its endpoint.
func (s *Shard) detach(j *job) {
	e := j.endpoint
	s.endPrefill(j)
	s.releaseSlot(j)
	if j.state == jobPaused {
		e.paused--
		s.tierOf(j.rank()).paused--
	}
	j.organisation.permits--
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
	s.dropEndpoint(e)
}
