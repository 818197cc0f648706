package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// Quanta of the deficit round robin, in estimated tokens.
const (
	shortQuantum = 2048
	longQuantum  = 32768
)

// maxLaneTries bounds the jobs of a lane that are tried when those before them cannot be placed now.
const maxLaneTries = 16

// tier holds the queued jobs of one tier.
type tier struct {
	rank  wigeonshift.TierRank
	lanes []*lane
	// turn is the lane that is tried first.
	turn    int
	queued  int
	running int
	paused  int
	// work is the expected service time of the queued jobs, in seconds.
	work float64
	// prefill is the number of prompt tokens of the queued jobs.
	prefill float64
}

// laneKey separates jobs that would block one another.
type laneKey struct {
	model string
	long  bool
	alone bool
}

// lane holds the jobs of a tier that compete for the same endpoints.
type lane struct {
	key laneKey
	// active are the flows with queued jobs, in round robin order from next.
	active []*flow
	next   int
	// credited is set once the flow whose turn it is has earned its quantum of this turn.
	credited bool
	flows    map[string]*flow
	// blocked is set when nothing of the lane could be placed; it is cleared when capacity changes.
	blocked bool
}

// flow holds the jobs of one organisation in a lane, by deadline.
type flow struct {
	organisation *organisation
	jobs         []*job
	deficit      float64
}

// tierOf returns the tier of a rank, made on first use; tiers stay sorted by rank.
func (s *Shard) tierOf(rank wigeonshift.TierRank) *tier {
	i, ok := slices.BinarySearchFunc(s.tiers, rank, func(t *tier, r wigeonshift.TierRank) int { return int(t.rank) - int(r) })
	if !ok {
		s.tiers = slices.Insert(s.tiers, i, &tier{rank: rank})
	}
	return s.tiers[i]
}

// laneOf returns the lane of a key, made on first use.
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

// enqueue adds a job to its tier's queue.
func (s *Shard) enqueue(j *job) {
	t := s.tierOf(j.rank())
	l := t.laneOf(s.laneKeyOf(j))
	f := l.flows[j.organisation.name]
	if f == nil {
		f = &flow{organisation: j.organisation}
		l.flows[j.organisation.name] = f
		l.active = append(l.active, f)
	}
	i, _ := slices.BinarySearchFunc(f.jobs, j, byDeadline)
	f.jobs = slices.Insert(f.jobs, i, j)
	j.lane, j.flow, j.state = l, f, jobQueued
	j.organisation.queued++
	t.queued++
	j.organisation.wait(t, j.work, float64(j.request.PromptTokens))
}

// add changes the totals of queued work.
func (t *tier) add(work, prefill float64) {
	t.work += work
	t.prefill += prefill
	if t.queued == 0 || t.work < 0 {
		t.work, t.prefill = 0, 0
	}
}

// byDeadline orders jobs by deadline; equal ones keep their order of arrival.
func byDeadline(a, b *job) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return -1
}

// dequeue takes a job out of its queue.
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
	j.organisation.wait(t, -j.work, -float64(j.request.PromptTokens))
}

// dropFlow removes an empty flow and keeps the round robin's place.
func (l *lane) dropFlow(f *flow) {
	delete(l.flows, f.organisation.name)
	i := slices.Index(l.active, f)
	l.active = slices.Delete(l.active, i, i+1)
	switch {
	case i < l.next:
		l.next--
	case i == l.next:
		l.credited = false
	}
	if l.next >= len(l.active) {
		l.next = 0
	}
}

// quantum is what a flow of weight 1 earns a round.
func (l *lane) quantum() float64 {
	if l.key.long {
		return longQuantum
	}
	return shortQuantum
}

// head returns the flow whose turn it is, or nil when every organisation is at its limit.
func (l *lane) head() *flow {
	limited := 0
	for limited < len(l.active) {
		f := l.active[l.next]
		if f.organisation.limited() {
			limited++
			l.advance()
			continue
		}
		limited = 0
		if !l.credited {
			f.deficit += l.quantum() * f.organisation.weight()
			l.credited = true
		}
		if f.deficit >= f.jobs[0].cost() {
			return f
		}
		l.advance()
	}
	return nil
}

// advance gives the turn to the next flow.
func (l *lane) advance() {
	l.next = (l.next + 1) % len(l.active)
	l.credited = false
}

// dispatch grants queued jobs, highest tier first, as far as capacity goes.
func (s *Shard) dispatch() {
	if !s.granting() {
		return
	}
	for _, t := range s.tiers {
		s.resumeTier(t)
		for s.dispatchTier(t) {
			continue
		}
	}
}

// granting reports whether permits may be given now.
func (s *Shard) granting() bool {
	return s.epoch > 0 && !s.draining && !s.now.Before(s.rebuildUntil)
}

// dispatchTier grants at most one job of each lane, the lanes in turn, and reports whether it granted any.
func (s *Shard) dispatchTier(t *tier) bool {
	if t.queued == 0 {
		return false
	}
	granted := false
	for i := range len(t.lanes) {
		l := t.lanes[(t.turn+i)%len(t.lanes)]
		if len(l.active) == 0 || l.blocked {
			continue
		}
		if s.dispatchLane(l) {
			granted = true
		} else {
			l.blocked = true
		}
	}
	t.turn++
	return granted
}

// dispatchLane grants one job of a lane if it can.
func (s *Shard) dispatchLane(l *lane) bool {
	f := l.head()
	if f == nil {
		return false
	}
	head := f.jobs[0]
	switch s.place(head) {
	case placed:
		return true
	case full:
		return false
	}
	tries := 0
	for i := range len(l.active) {
		f := l.active[(l.next+i)%len(l.active)]
		if f.organisation.limited() {
			continue
		}
		for _, j := range f.jobs {
			if j == head {
				continue
			}
			if tries++; tries > maxLaneTries {
				return false
			}
			if s.place(j) == placed {
				return true
			}
		}
	}
	return false
}

// unblock makes every lane be tried again.
func (s *Shard) unblock() {
	for _, t := range s.tiers {
		for _, l := range t.lanes {
			l.blocked = false
		}
	}
}
