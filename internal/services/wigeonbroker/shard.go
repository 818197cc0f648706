package wigeonbroker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
)

// backlogLimit bounds the final reports that wait for an owner.
const backlogLimit = 1024

// shard is what the broker knows about one shard.
type shard struct {
	id wigeonshift.ShardID
	// owner is the instance that asks go to while confirmed is set, and the best guess before.
	owner     wigeonshift.Instance
	confirmed bool
	// epoch is the newest epoch seen; it never falls.
	epoch    uint64
	sessions map[wigeonshift.RequestID]*session
	// backlog holds final reports that no owner has got yet.
	backlog []wigeonshift.AttemptReport

	// ownerlessSince is the time since when requests wait without an owner, zero while there is one.
	ownerlessSince time.Time
	searchAt       time.Time
	searches       int
	redirects      int
	reportedAt     time.Time
	// failedID names an owner that was lost at failedAt.
	failedID string
	failedAt time.Time
	reading  bool
}

func newShard(id wigeonshift.ShardID) *shard {
	return &shard{id: id, sessions: map[wigeonshift.RequestID]*session{}}
}

// busy tells whether anything needs an owner.
func (st *shard) busy() bool {
	return len(st.sessions) > 0 || len(st.backlog) > 0
}

// hasAttempts tells whether any attempt is in flight.
func (st *shard) hasAttempts() bool {
	for _, s := range st.sessions {
		if s.running() {
			return true
		}
	}
	return false
}

// ordered returns the sessions by request id.
func (st *shard) ordered() []*session {
	return slices.SortedFunc(maps.Values(st.sessions), func(a, b *session) int {
		return cmp.Compare(a.request.ID, b.request.ID)
	})
}

// failed tells whether an instance was lost as the owner a moment ago.
func (st *shard) failed(id string) bool {
	return id == st.failedID && time.Since(st.failedAt) < failedFor
}

// search asks the best guess, or the next candidate, for the owner; the caller holds the lock.
func (b *Broker) search(st *shard) {
	st.searchAt = time.Now().Add(jittered(b.searchPause(st)))
	if st.searches%tableAfter == tableAfter-1 && !st.reading {
		st.reading = true
		r := &rowRead{b: b, shard: st.id}
		b.wg.Go(r.run)
	}
	target := st.owner
	if target.ID == "" {
		target = b.nextCandidate(st)
	}
	st.owner = wigeonshift.Instance{}
	if target.ID == "" {
		return
	}
	if err := b.network.Send(b.ctx, target, wigeonshift.OwnerAsk{Shard: st.id}); err != nil {
		b.scope.Counter("brokerSendsFailed").Inc(1)
	}
}

// searchPause returns the time to the next question for a shard's owner.
func (b *Broker) searchPause(st *shard) time.Duration {
	if st.searches < fastSearches {
		return searchPause
	}
	return max(searchPause, time.Duration(len(b.members.Live()))*searchPausePerInstance)
}

// nextCandidate returns the candidates in turn.
func (b *Broker) nextCandidate(st *shard) wigeonshift.Instance {
	candidates := wigeonlease.Candidates(st.id, b.members.Live(), searchCandidates)
	st.searches++
	if len(candidates) == 0 {
		return wigeonshift.Instance{}
	}
	return candidates[(st.searches-1)%len(candidates)]
}

// adopt takes an instance as the shard's owner, tells it what runs and asks it for what waits; the caller holds
// the lock.
func (b *Broker) adopt(st *shard, owner wigeonshift.Instance, epoch uint64) {
	if epoch < st.epoch || owner.ID == "" {
		return
	}
	if st.confirmed && st.owner.ID == owner.ID && st.epoch == epoch {
		return
	}
	st.owner, st.epoch, st.confirmed, st.searches = owner, epoch, true, 0
	st.ownerlessSince = time.Time{}
	b.report(st)
	backlog := st.backlog
	st.backlog = nil
	for _, r := range backlog {
		b.sendReport(st, r)
	}
	for _, s := range st.ordered() {
		if s.state == stateWaiting && st.confirmed {
			if s.askedOwner != "" {
				b.retried("ownerChanged")
			}
			b.sendAsk(s)
		}
	}
}

// report lists all attempts in flight to the owner; the caller holds the lock.
func (b *Broker) report(st *shard) {
	st.reportedAt = time.Now()
	n := wigeonshift.RunningNotice{Shard: st.id, Epoch: st.epoch}
	for _, s := range st.ordered() {
		if s.running() {
			n.Attempts = append(n.Attempts, s.attempt())
		}
	}
	b.sendOwner(st, n)
}

// sendReport sends a report to the owner, or keeps it for the next one when it is final.
func (b *Broker) sendReport(st *shard, r wigeonshift.AttemptReport) {
	if st.confirmed && b.sendOwner(st, wigeonshift.AttemptNotice{Report: r}) {
		return
	}
	if !final(r.State) {
		return
	}
	if len(st.backlog) >= backlogLimit {
		b.scope.Counter("brokerReportsDropped").Inc(1)
		return
	}
	st.backlog = append(st.backlog, r)
}

// forget gives the owner up and begins to look for another; the caller holds the lock.
func (b *Broker) forget(st *shard) {
	if !st.confirmed {
		return
	}
	st.failedID, st.failedAt = st.owner.ID, time.Now()
	st.owner, st.confirmed, st.searches = wigeonshift.Instance{}, false, 0
	st.searchAt = time.Now().Add(jittered(checkPeriod))
}

// rowRead reads a shard's lease row as the last resort.
type rowRead struct {
	b     *Broker
	shard wigeonshift.ShardID
}

// run reads the row once.
func (r *rowRead) run() {
	ctx, cancel := context.WithTimeout(r.b.ctx, tableTimeout)
	defer cancel()
	row, err := r.b.leases.Read(ctx, r.shard)
	r.b.scope.Counter("brokerLeaseReads").Inc(1)
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	st := r.b.shards[r.shard]
	st.reading = false
	if err == nil && !st.confirmed && row.Epoch >= st.epoch && !st.failed(row.Holder.ID) {
		st.owner = row.Holder
	}
}
