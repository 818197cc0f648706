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

// maxBacklogReports limits the final reports that a shard keeps while it has no owner.
const maxBacklogReports = 1024

// shardState holds a shard's known owner, its open sessions and the progress of the search for an owner.
type shardState struct {
	id wigeonshift.ShardID
	// owner receives the permit requests while ownerConfirmed is set. Otherwise it is the instance to ask next in the
	// search, or empty.
	owner          wigeonshift.Instance
	ownerConfirmed bool
	// epoch is the newest lease epoch seen. It never decreases.
	epoch    uint64
	sessions map[wigeonshift.RequestID]*session
	// backlog holds final reports that could not be sent to an owner yet.
	backlog []wigeonshift.AttemptReport

	// waitingForOwnerSince is the time at which the shard began to need an owner without having one. It is zero while
	// an owner is confirmed or none is needed.
	waitingForOwnerSince time.Time
	nextSearchAt         time.Time
	searchCount          int
	redirectCount        int
	runningNoticeAt      time.Time
	// lostOwnerID is the owner that was lost last, at lostOwnerAt.
	lostOwnerID  string
	lostOwnerAt  time.Time
	readingLease bool
}

func newShardState(id wigeonshift.ShardID) *shardState {
	return &shardState{id: id, sessions: map[wigeonshift.RequestID]*session{}}
}

// needsOwner reports whether the shard has open sessions or unsent reports.
func (st *shardState) needsOwner() bool {
	return len(st.sessions) > 0 || len(st.backlog) > 0
}

// hasRunningAttempts reports whether any session holds a permit.
func (st *shardState) hasRunningAttempts() bool {
	for _, s := range st.sessions {
		if s.holdsPermit() {
			return true
		}
	}
	return false
}

// sortedSessions returns the sessions in the order of their request IDs.
func (st *shardState) sortedSessions() []*session {
	return slices.SortedFunc(maps.Values(st.sessions), func(a, b *session) int {
		return cmp.Compare(a.request.ID, b.request.ID)
	})
}

// lostRecently reports whether the instance was lost as the owner less than lostOwnerBackoff ago.
func (st *shardState) lostRecently(id string) bool {
	return id == st.lostOwnerID && time.Since(st.lostOwnerAt) < lostOwnerBackoff
}

// searchOwner sends an OwnerAsk to the suspected owner, or to the next candidate. Every searchesPerLeaseRead searches
// it also reads the lease row. The caller holds the lock.
func (b *Broker) searchOwner(st *shardState) {
	st.nextSearchAt = time.Now().Add(jitter(b.searchDelay(st)))
	if st.searchCount%searchesPerLeaseRead == searchesPerLeaseRead-1 && !st.readingLease {
		st.readingLease = true
		r := &leaseRead{broker: b, shard: st.id}
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

// searchDelay returns the mean time to the next OwnerAsk for a shard.
func (b *Broker) searchDelay(st *shardState) time.Duration {
	if st.searchCount < fastSearchCount {
		return searchInterval
	}
	return max(searchInterval, time.Duration(len(b.members.Live()))*searchIntervalPerInstance)
}

// nextCandidate returns the shard's candidates for ownership in turn, or an empty instance if there are none.
func (b *Broker) nextCandidate(st *shardState) wigeonshift.Instance {
	candidates := wigeonlease.Candidates(st.id, b.members.Live(), candidateCount)
	st.searchCount++
	if len(candidates) == 0 {
		return wigeonshift.Instance{}
	}
	return candidates[(st.searchCount-1)%len(candidates)]
}

// setOwner records an instance as the shard's confirmed owner. It sends the new owner the running attempts, the unsent
// reports and the waiting permit requests. It does nothing for an older epoch or an owner that is already confirmed.
// The caller holds the lock.
func (b *Broker) setOwner(st *shardState, owner wigeonshift.Instance, epoch uint64) {
	if epoch < st.epoch || owner.ID == "" {
		return
	}
	if st.ownerConfirmed && st.owner.ID == owner.ID && st.epoch == epoch {
		return
	}
	st.owner, st.epoch, st.ownerConfirmed, st.searchCount = owner, epoch, true, 0
	st.waitingForOwnerSince = time.Time{}
	b.sendRunningNotice(st)
	backlog := st.backlog
	st.backlog = nil
	for _, r := range backlog {
		b.sendReport(st, r)
	}
	for _, s := range st.sortedSessions() {
		if s.state == stateWaiting && st.ownerConfirmed {
			if s.askedOwnerID != "" {
				b.countRetry("ownerChanged")
			}
			b.sendPermitAsk(s)
		}
	}
}

// sendRunningNotice sends the owner a list of all running attempts. The caller holds the lock.
func (b *Broker) sendRunningNotice(st *shardState) {
	st.runningNoticeAt = time.Now()
	n := wigeonshift.RunningNotice{Shard: st.id, Epoch: st.epoch}
	for _, s := range st.sortedSessions() {
		if s.holdsPermit() {
			n.Attempts = append(n.Attempts, s.runningAttempt())
		}
	}
	b.sendToOwner(st, n)
}

// sendReport sends a report to the owner. A final report that can't be sent is kept for the next owner.
func (b *Broker) sendReport(st *shardState, r wigeonshift.AttemptReport) {
	if st.ownerConfirmed && b.sendToOwner(st, wigeonshift.AttemptNotice{Report: r}) {
		return
	}
	if !isFinal(r.State) {
		return
	}
	if len(st.backlog) >= maxBacklogReports {
		b.scope.Counter("brokerReportsDropped").Inc(1)
		return
	}
	st.backlog = append(st.backlog, r)
}

// dropOwner marks the confirmed owner as lost and schedules a search for the next one. The caller holds the lock.
func (b *Broker) dropOwner(st *shardState) {
	if !st.ownerConfirmed {
		return
	}
	st.lostOwnerID, st.lostOwnerAt = st.owner.ID, time.Now()
	st.owner, st.ownerConfirmed, st.searchCount = wigeonshift.Instance{}, false, 0
	st.nextSearchAt = time.Now().Add(jitter(checkInterval))
}

// leaseRead is a background read of a shard's lease row, used when the instances asked don't know the owner.
type leaseRead struct {
	broker *Broker
	shard  wigeonshift.ShardID
}

// run reads the row and makes its holder the next instance to ask.
func (r *leaseRead) run() {
	ctx, cancel := context.WithTimeout(r.broker.ctx, leaseReadTimeout)
	defer cancel()
	row, err := r.broker.leases.Read(ctx, r.shard)
	r.broker.scope.Counter("brokerLeaseReads").Inc(1)
	r.broker.mu.Lock()
	defer r.broker.mu.Unlock()
	st := r.broker.shards[r.shard]
	st.readingLease = false
	if err == nil && !st.ownerConfirmed && row.Epoch >= st.epoch && !st.lostRecently(row.Holder.ID) {
		st.owner = row.Holder
	}
}
