package wigeondispatch

import (
	"sort"
	"time"
)

// Levels order what waits: a higher rank goes before a lower one, and an answer that can be on time before one that is
// late. A caller that was turned away before goes right after those of its rank that can be on time. A late request goes
// after those of the next lower rank that can be on time and before the rank below that.
const (
	levelsPerRank  = 2
	returnedLevels = 1
	lateLevels     = 3
	// levels is the number of levels that instances tell each other; deeper ones count as the last.
	levels = 2*ranks + lateLevels
	// ranks and ranksPerTier bound what is told apart.
	ranks        = 16
	ranksPerTier = 4
)

// levelOf returns the level of a request that starts now.
func (p *pool) levelOf(j *Job, at time.Duration) int {
	level := levelsPerRank * j.rank()
	switch {
	case j.returned():
		level += returnedLevels
	case j.Objective > 0 && at > j.latestStart(p.typicalFirst(j)):
		level += lateLevels
	}
	return min(max(level, 0), levels-1)
}

// rank orders requests by the tier of their organisation and by that of their route within it.
func (j *Job) rank() int {
	within := min(max(int(j.RouteTier), 0), ranksPerTier-1)
	return min(max(int(j.Tier), 0)*ranksPerTier+within, ranks-1)
}

// waits counts waiting requests by level.
type waits [levels]int

// upTo is the number of requests at a level and before it.
func (w waits) upTo(level int) int {
	n := 0
	for _, x := range w[:level+1] {
		n += x
	}
	return n
}

// before is the number of requests before a level.
func (w waits) before(level int) int { return w.upTo(level) - w[level] }

// trimmed returns the counts without the zeros at the end.
func (w waits) trimmed() []int {
	n := len(w)
	for n > 0 && w[n-1] == 0 {
		n--
	}
	return append([]int(nil), w[:n]...)
}

// queue holds the requests of one service that wait for an endpoint, in order of arrival.
type queue struct {
	jobs []*Job
}

func (q *queue) add(j *Job) { q.jobs = append(q.jobs, j) }

// remove takes a request out and reports whether it was there.
func (q *queue) remove(j *Job) bool {
	for i, x := range q.jobs {
		if x == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// ordered returns the waiting requests by level, those of one level in order of arrival.
func (p *pool) ordered(at time.Duration) []*Job {
	out := make([]*Job, len(p.queue.jobs))
	copy(out, p.queue.jobs)
	sort.SliceStable(out, func(i, k int) bool {
		a, b := p.levelOf(out[i], at), p.levelOf(out[k], at)
		if a != b {
			return a < b
		}
		return out[i].PromptTokens+10*out[i].ExpectedAnswerTokens < out[k].PromptTokens+10*out[k].ExpectedAnswerTokens
	})
	return out
}

// waits counts the waiting requests by level.
func (p *pool) waits(at time.Duration) waits {
	var w waits
	for _, j := range p.queue.jobs {
		w[p.levelOf(j, at)]++
	}
	return w
}
