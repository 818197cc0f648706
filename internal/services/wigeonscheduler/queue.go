package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// Quanta of the deficit round robin, in estimated tokens.
const (
	shortQuantumTokens = 2048
	longQuantumTokens  = 32768
)

// maxLaneTries is the number of other jobs of a lane that are tried when the first one cannot be placed.
const maxLaneTries = 16

// tier holds the queued jobs of one tier.
type tier struct {
	rank  wigeonshift.TierRank
	lanes []*lane
	// nextLane is the position of the lane to try first; it is taken modulo the number of lanes.
	nextLane int
	queued   int
	running  int
	paused   int
	// workSeconds is the expected service time of the queued jobs.
	workSeconds float64
	// prefillTokens is the number of prompt tokens of the queued jobs.
	prefillTokens float64
}

// laneKey separates jobs that would block each other.
type laneKey struct {
	model      string
	longPrompt bool
	runsAlone  bool
}

// lane holds the queued jobs of a tier that compete for the same endpoints.
type lane struct {
	key laneKey
	// activeFlows are the flows with queued jobs, in round-robin order starting at nextFlow.
	activeFlows []*flow
	nextFlow    int
	// credited is set once the flow at nextFlow has received its quantum for this turn.
	credited bool
	flows    map[string]*flow
	// blocked is set when no job of the lane could be placed. It is cleared when capacity changes.
	blocked bool
}

// flow holds the queued jobs of one organisation in a lane, ordered by deadline.
type flow struct {
	organisation  *organisation
	jobs          []*job
	deficitTokens float64
}

// tierOf returns the tier of a rank and creates it on first use. Tiers stay sorted by rank because they are served in
// that order.
func (s *Shard) tierOf(rank wigeonshift.TierRank) *tier {
	i, ok := slices.BinarySearchFunc(s.tiers, rank, func(t *tier, r wigeonshift.TierRank) int { return int(t.rank) - int(r) })
	if !ok {
		s.tiers = slices.Insert(s.tiers, i, &tier{rank: rank})
	}
	return s.tiers[i]
}

// laneOf returns the lane of a key and creates it on first use.
func (t *tier) laneOf(key laneKey) *lane {
	for _, l := range t.lanes {
		if l.key == key {
			return l
		}
	}
	l := &lane{key: key, flows: map[string]*flow{}}
	t.lanes = append(t.lanes, l)
	return l
}

// enqueue adds a job to its tier's queue: in the lane of jobs that compete for the same endpoints and there in the flow
// of its organisation, ordered by deadline. Flows are served in turn, so that organisations share a tier by their
// weights.
func (s *Shard) enqueue(j *job) {
	t := s.tierOf(j.rank())
	l := t.laneOf(s.laneKeyOf(j))
	f := l.flows[j.organisation.name]
	if f == nil {
		f = &flow{organisation: j.organisation}
		l.flows[j.organisation.name] = f
		l.activeFlows = append(l.activeFlows, f)
	}
	i, _ := slices.BinarySearchFunc(f.jobs, j, compareDeadlines)
	f.jobs = slices.Insert(f.jobs, i, j)
	j.lane, j.flow, j.state = l, f, jobQueued
	j.organisation.queued++
	t.queued++
	j.organisation.addQueuedWork(t, j.workSeconds, float64(j.request.PromptTokens))
}

// addWork adds to the totals of queued work, from which the wait of new requests is estimated; negative values
// subtract. The totals are zero once nothing is queued.
func (t *tier) addWork(work, prefill float64) {
	t.workSeconds += work
	t.prefillTokens += prefill
	if t.queued == 0 || t.workSeconds < 0 {
		t.workSeconds, t.prefillTokens = 0, 0
	}
}

// compareDeadlines orders jobs by deadline. Jobs with equal deadlines stay in the order of their arrival.
func compareDeadlines(a, b *job) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return -1
}

// dequeue removes a job from its queue and its work from the totals that estimate the wait of others.
func (s *Shard) dequeue(j *job) {
	l, f := j.lane, j.flow
	if i := slices.Index(f.jobs, j); i >= 0 {
		f.jobs = slices.Delete(f.jobs, i, i+1)
	}
	if len(f.jobs) == 0 {
		l.dropFlow(f)
	}
	j.lane, j.flow = nil, nil
	j.organisation.queued--
	t := s.tierOf(j.rank())
	t.queued--
	j.organisation.addQueuedWork(t, -j.workSeconds, -float64(j.request.PromptTokens))
}

// dropFlow removes an empty flow and keeps the position of the round robin, so that no other flow loses or repeats its
// turn.
func (l *lane) dropFlow(f *flow) {
	delete(l.flows, f.organisation.name)
	i := slices.Index(l.activeFlows, f)
	l.activeFlows = slices.Delete(l.activeFlows, i, i+1)
	switch {
	case i < l.nextFlow:
		l.nextFlow--
	case i == l.nextFlow:
		l.credited = false
	}
	if l.nextFlow >= len(l.activeFlows) {
		l.nextFlow = 0
	}
}

// quantumTokens is what a flow of weight 1 receives in each round.
func (l *lane) quantumTokens() float64 {
	if l.key.longPrompt {
		return longQuantumTokens
	}
	return shortQuantumTokens
}

// selectFlow returns the flow (the queued jobs of one organisation) to serve next, or nil when every organisation is at
// its limit. It uses deficit round robin: each turn credits a flow with tokens by its weight, and a flow is served once
// its credit covers its first job. An organisation with long jobs thus gets no more than its share.
func (l *lane) selectFlow() *flow {
	limited := 0
	for limited < len(l.activeFlows) {
		f := l.activeFlows[l.nextFlow]
		if f.organisation.atLimit() {
			limited++
			l.advance()
			continue
		}
		limited = 0
		if !l.credited {
			f.deficitTokens += l.quantumTokens() * f.organisation.weight()
			l.credited = true
		}
		if f.deficitTokens >= f.jobs[0].cost() {
			return f
		}
		l.advance()
	}
	return nil
}

// advance moves to the next flow.
func (l *lane) advance() {
	l.nextFlow = (l.nextFlow + 1) % len(l.activeFlows)
	l.credited = false
}

// dispatch grants queued jobs as far as capacity allows, highest tier first. In each tier, paused jobs are resumed
// before queued ones are granted.
func (s *Shard) dispatch() {
	if !s.canGrant() {
		return
	}
	for _, t := range s.tiers {
		s.resumeTier(t)
		for s.dispatchTier(t) {
			continue
		}
	}
}

// canGrant reports whether the shard may grant permits: it has an owner epoch, is not draining and is past
// rebuildUntil.
func (s *Shard) canGrant() bool {
	return s.epoch > 0 && !s.draining && !s.now.Before(s.rebuildUntil)
}

// dispatchTier grants at most one job of each lane and reports whether it granted any. The first lane changes from call
// to call so that the lanes take turns. A lane in which no job could be placed is skipped until capacity changes.
func (s *Shard) dispatchTier(t *tier) bool {
	if t.queued == 0 {
		return false
	}
	granted := false
	for i := range len(t.lanes) {
		l := t.lanes[(t.nextLane+i)%len(t.lanes)]
		if len(l.activeFlows) == 0 || l.blocked {
			continue
		}
		if s.dispatchLane(l) {
			granted = true
		} else {
			l.blocked = true
		}
	}
	t.nextLane++
	return granted
}

// dispatchLane places one job of a lane, or removes it with a final answer, and reports whether it did. If the first
// job has to wait, it tries up to maxLaneTries others, because they may fit on another endpoint.
func (s *Shard) dispatchLane(l *lane) bool {
	f := l.selectFlow()
	if f == nil {
		return false
	}
	head := f.jobs[0]
	switch s.place(head) {
	case resultPlaced:
		return true
	case resultLaneBlocked:
		return false
	}
	tries := 0
	for i := range len(l.activeFlows) {
		f := l.activeFlows[(l.nextFlow+i)%len(l.activeFlows)]
		if f.organisation.atLimit() {
			continue
		}
		for _, j := range f.jobs {
			if j == head {
				continue
			}
			if tries++; tries > maxLaneTries {
				return false
			}
			if s.place(j) == resultPlaced {
				return true
			}
		}
	}
	return false
}

// unblockLanes marks every lane to be tried again, after a change that may let a job start.
func (s *Shard) unblockLanes() {
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			l.blocked = false
		}
	}
}
