package wigeonscheduler

import (
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// health is the owner's view of an endpoint's health.
type health uint8

const (
	healthUp health = iota
	// healthDown endpoints get only probes.
	healthDown
	// healthStraggler endpoints are slow. While others are up, they get one request at a time, as a probe when one is
	// due.
	healthStraggler
)

// String returns the name shown to operators.
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

// endpoint is the owner's state of one endpoint of the shard.
type endpoint struct {
	name string
	// index is the endpoint's index in the prefix index. It is unique in the shard and reused only after removal.
	index  int
	spec   wigeonshift.EndpointSpec
	models []string
	health health
	// removed is set when the endpoint has left the configuration while attempts still run on it.
	removed bool
	// draining is set when the endpoint has reported that it drains.
	draining    bool
	incarnation string

	// jobs are all jobs with a permit for the endpoint, including paused ones.
	jobs []*job
	// running counts the jobs that hold a slot; releasingSlots counts those of them that were asked to release it.
	running        int
	releasingSlots int
	paused         int
	// pendingPrefillTokens is the predicted number of prompt tokens that remain to be computed.
	pendingPrefillTokens int
	// pendingLongPrefills counts the long prefills in pendingPrefillTokens.
	pendingLongPrefills int

	capacity float64
	speed    speed
	cache    *prefixCache

	// probeAt is the earliest time of the next probe of an endpoint that is not up. An endpoint that is down gets a
	// health probe; a straggler gets a job as its probe.
	probeAt time.Time
	// healthProbePending is set while the result of a health probe is awaited.
	healthProbePending bool
	// crashCount counts the endpoint's assumed crashes: the loss of an attempt counts as one. A job records the count
	// at its grant, so that several attempts lost at the same time count as one crash.
	crashCount int
	// reservedFor is the suspect job that the endpoint is kept free for.
	reservedFor *job
	// probeJob is the job that tests whether the straggler has recovered.
	probeJob *job
	// probeBackoff is the delay between two probes. It doubles with each health probe and with each failed probe of a
	// straggler, up to maxProbeInterval.
	probeBackoff time.Duration
	// firstTokenDelayRatio compares the endpoint's first-token latencies with their estimates.
	firstTokenDelayRatio delayRatio
	// capacityCutAt is the time when a late or overdue first token last cut the capacity.
	capacityCutAt time.Time
	// lastResponseAt is the time of the last first token or finished answer from the endpoint.
	lastResponseAt time.Time
	// crashedAt is the time of the last assumed crash.
	crashedAt time.Time
	// crashedIncarnation is the engine's incarnation at the grant of the attempt whose loss counted as the last crash.
	// It is empty if unknown, or once the same incarnation has reported again, which shows that only the connection
	// broke.
	crashedIncarnation string
	// batchLimit is the number of streams that the engine was seen to run while others waited; 0 if unknown.
	batchLimit float64
	// waitingReports counts consecutive load reports with waiting requests, maxRunningWhileWaiting is the largest
	// number of running requests in them.
	waitingReports, maxRunningWhileWaiting int
	// order is the state of the last order to the endpoint.
	order orderState
}

// handleConfigurationChanged updates endpoints and limits to a configuration version and ignores older versions. A
// removed endpoint is kept until no job is left on it.
func (s *Shard) handleConfigurationChanged(c ConfigurationChanged) {
	if c.Version < s.configurationVersion {
		return
	}
	s.configurationVersion, s.product = c.Version, c.Product
	for name, spec := range c.Endpoints {
		s.configureEndpoint(name, spec)
	}
	for _, e := range slices.Clone(s.sortedEndpoints) {
		if _, ok := c.Endpoints[e.name]; !ok {
			e.removed = true
			s.dropIdleEndpoint(e)
		}
	}
	for _, o := range s.organisations {
		o.update(func() {
			o.spec = wigeonshift.Organisation{}
			if c.Product != nil {
				o.spec = c.Product.Organisations[o.name]
			}
		})
	}
	slices.SortFunc(s.sortedEndpoints, func(a, b *endpoint) int { return strings.Compare(a.name, b.name) })
	s.assignIndexes()
	s.unblockLanes()
}

// configureEndpoint adds an endpoint or updates its spec. A new address resets health and speed, because they were
// learned at the old one. Models reported by the engine stay unless the configured models change.
func (s *Shard) configureEndpoint(name string, spec wigeonshift.EndpointSpec) {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, index: -1, models: slices.Clone(spec.Models), capacity: float64(s.settings.InitialCapacity)}
		s.endpoints[name] = e
		s.sortedEndpoints = append(s.sortedEndpoints, e)
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

// assignIndexes gives every new endpoint an index in the prefix index, which records by this number who holds a block.
// It takes the lowest free one, so that the bit sets of holders stay short.
func (s *Shard) assignIndexes() {
	used := make([]bool, len(s.sortedEndpoints)+1)
	for _, e := range s.sortedEndpoints {
		if e.index >= 0 && e.index < len(used) {
			used[e.index] = true
		}
	}
	next := 0
	for _, e := range s.sortedEndpoints {
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

// dropIdleEndpoint deletes a removed endpoint once no job is left on it, because its jobs still refer to it until then.
func (s *Shard) dropIdleEndpoint(e *endpoint) {
	if !e.removed || len(e.jobs) > 0 {
		return
	}
	delete(s.endpoints, e.name)
	s.sortedEndpoints = slices.DeleteFunc(s.sortedEndpoints, func(o *endpoint) bool { return o == e })
	if e.cache != nil {
		e.cache.clear()
	}
}

// acceptsWork reports whether the endpoint may get new work of any kind.
func (e *endpoint) acceptsWork() bool {
	return !e.removed && !e.draining && e.spec.State != wigeonshift.EndpointLeaving && e.health != healthDown
}

// serves reports whether the endpoint has a model loaded. Requests to plain services name no model.
func (e *endpoint) serves(model string) bool {
	return model == "" || slices.Contains(e.models, model)
}

// concurrencyLimit is the maximum number of attempts that run on the endpoint at once.
func (e *endpoint) concurrencyLimit() int {
	if e.spec.MaxConcurrent > 0 {
		return e.spec.MaxConcurrent
	}
	return max(1, int(e.capacity))
}

// freeSlots is the number of slots available to new work. Slots that jobs were asked to release count as free.
func (e *endpoint) freeSlots() int {
	return e.concurrencyLimit() - (e.running - e.releasingSlots)
}

// attach places a job on an endpoint and takes a slot for it.
func (s *Shard) attach(j *job, e *endpoint) {
	j.endpoint = e
	j.organisation.permits++
	e.jobs = append(e.jobs, j)
	s.takeSlot(j)
}

// takeSlot counts a job as running at its endpoint, organisation and tier. The counts limit further grants.
func (s *Shard) takeSlot(j *job) {
	if j.holdsSlot {
		return
	}
	j.holdsSlot = true
	j.endpoint.running++
	j.organisation.update(func() { j.organisation.running++ })
	s.tierOf(j.rank()).running++
}

// releaseSlot counts a job as no longer running and has queued jobs tried again, because its slot is free. It does
// nothing if the job holds no slot, for example because it is paused.
func (s *Shard) releaseSlot(j *job) {
	if !j.holdsSlot {
		return
	}
	j.holdsSlot = false
	if j.state == jobPausing || j.state == jobCancelling {
		j.endpoint.releasingSlots--
	}
	j.endpoint.running--
	j.organisation.update(func() { j.organisation.running-- })
	s.tierOf(j.rank()).running--
	s.unblockLanes()
}

// addPrefill adds a job's prompt to the pending prefill of its endpoint, which delays the first tokens of later jobs
// there.
func (s *Shard) addPrefill(j *job) {
	j.prefillPending = true
	j.endpoint.pendingPrefillTokens += j.uncachedTokens
	if s.isLongPrefill(j.uncachedTokens) {
		j.endpoint.pendingLongPrefills++
	}
}

// endPrefill removes a job's prompt, finished or abandoned, from the pending prefill of its endpoint and has queued
// jobs tried again, because they may now start there.
func (s *Shard) endPrefill(j *job) {
	if !j.prefillPending {
		return
	}
	j.prefillPending = false
	j.endpoint.pendingPrefillTokens -= j.uncachedTokens
	if s.isLongPrefill(j.uncachedTokens) {
		j.endpoint.pendingLongPrefills--
	}
	s.unblockLanes()
}

// isLongPrefill reports whether a prefill of this many tokens is kept apart from short ones.
func (s *Shard) isLongPrefill(tokens int) bool {
	return tokens >= s.settings.LongPromptTokens
}

// detach removes a job from its endpoint and releases its slot and its pending prefill there.
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
	s.dropIdleEndpoint(e)
}
