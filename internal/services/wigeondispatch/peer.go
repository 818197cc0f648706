package wigeondispatch

import (
	"slices"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquota"
)

// peer is the load that another instance reported.
type peer struct {
	// inGroup is set for the members of this instance's group.
	inGroup    bool
	reportedAt time.Duration
	// reportCount is the number of reports. A rate of use is known from the second report on.
	reportCount int
	loads       map[string]load
	// rejections holds the reported numbers of rejections by endpoint.
	rejections map[string]int
	// waiting counts the requests queued there by service and priority level.
	waiting map[string]waitingCounts
}

// member is another member of this instance's group.
type member struct {
	name string
	*peer
}

// handlePeerReport replaces what is known of another instance by its latest report. Then it dispatches queued
// requests, because the report may show free slots or that no request of a higher priority is queued there any more.
func (s *State) handlePeerReport(name string, notice wigeonshift.LoadNotice) {
	p := s.peers[name]
	if p == nil {
		p = &peer{inGroup: s.groups.SameGroup(name, s.settings.Instance)}
		s.peers[name] = p
		s.updateMembers()
	}
	p.reportedAt = s.now
	p.reportCount++
	if p.reportCount <= minRateReports {
		s.updateQuotaShares()
	}
	fresh := make(map[string]load, len(notice.Endpoints))
	for _, l := range notice.Endpoints {
		fresh[l.Endpoint] = load{running: l.Running, prefill: l.PrefillTokens, reservedTokens: l.ReservedTokens}
	}
	s.replacePeerLoads(p, fresh)
	s.handlePeerRejections(p, notice.Endpoints)
	s.handlePeerLimits(name, p, notice.Limits)
	s.mergeRollouts(name, notice.Rollouts)
	s.handlePeerMisplaced(notice.Misplaced)
	s.handlePeerLeaving(name, notice.Leaving, notice.EndpointsRevision)
	p.waiting = make(map[string]waitingCounts, len(notice.Services))
	for _, w := range notice.Services {
		var counts waitingCounts
		copy(counts[:], w.QueuedByLevel)
		p.waiting[w.Service] = counts
	}
	for _, u := range notice.Organisations {
		if q := s.quotas[u.Organisation]; q != nil {
			q.HandlePeerReport(name, u.Units, s.now, p.inGroup)
			q.AdoptPeerBalance(u.RemainingUnits, s.now)
		}
	}
	if p.inGroup {
		s.startQuotaRound()
	}
	s.dispatchAllWaiting()
}

// updateMembers updates the list of the other members of the group that report to this instance. The list saves a look at all
// instances of a large fleet at each decision.
func (s *State) updateMembers() {
	s.members = s.members[:0]
	for name, p := range s.peers {
		if p.inGroup {
			s.members = append(s.members, member{name: name, peer: p})
		}
	}
	slices.SortFunc(s.members, func(a, b member) int { return strings.Compare(a.name, b.name) })
}

// startQuotaRound starts a new round of reports of each quota if all members of the group have reported since the
// latest one began.
func (s *State) startQuotaRound() {
	oldestReport := s.now
	for _, m := range s.members {
		oldestReport = min(oldestReport, m.reportedAt)
	}
	for _, q := range s.quotas {
		if oldestReport > q.RoundStartedAt() {
			q.StartRound(s.now)
		}
	}
}

// replacePeerLoads replaces one instance's loads in the sums over all other instances, which count as load of the
// endpoints. It skips endpoints that this instance doesn't know; recomputePeerLoads adds them when they are listed.
func (s *State) replacePeerLoads(p *peer, fresh map[string]load) {
	for id, l := range p.loads {
		if e := s.endpoints[id]; e != nil {
			e.peerLoad = load{e.peerLoad.running - l.running, e.peerLoad.prefill - l.prefill,
				e.peerLoad.reservedTokens - l.reservedTokens}
			if p.inGroup {
				e.groupLoad -= l.running
			}
		}
	}
	for id, l := range fresh {
		if e := s.endpoints[id]; e != nil {
			e.peerLoad = load{e.peerLoad.running + l.running, e.peerLoad.prefill + l.prefill,
				e.peerLoad.reservedTokens + l.reservedTokens}
			if p.inGroup {
				e.groupLoad += l.running
			}
		}
	}
	p.loads = fresh
}

// recomputePeerLoads recomputes the sums of the other instances' loads after the endpoints have changed, because a new
// endpoint starts without the loads that were reported before.
func (s *State) recomputePeerLoads() {
	for _, e := range s.endpoints {
		e.peerLoad, e.groupLoad = load{}, 0
	}
	for _, p := range s.peers {
		loads := p.loads
		p.loads = nil
		s.replacePeerLoads(p, loads)
	}
}

// handlePeerLost removes an instance that can no longer be reached. Then it dispatches queued requests, because the
// load and the queue of the removed instance no longer count.
func (s *State) handlePeerLost(name string) {
	p := s.peers[name]
	if p == nil {
		return
	}
	s.removePeer(name, p)
	s.dispatchAllWaiting()
}

// removePeer removes an instance with its load and its use of quotas. The quota shares of this instance shrink,
// because what the removed instance uses from now on is unknown and has to come from that instance's own share.
func (s *State) removePeer(name string, p *peer) {
	s.replacePeerLoads(p, nil)
	delete(s.peers, name)
	s.updateMembers()
	for _, q := range s.quotas {
		q.RemovePeer(name)
	}
	s.forgetPeerLimits(name)
	s.updateQuotaShares()
}

// minRateReports is the number of reports from which the rate of an instance's use of quotas can be computed.
const minRateReports = 2

// updateQuotaShares sets the share of every quota that this instance and the instances that report to it may use, and
// the fair share of its group (the instances that report every change of their load to each other). Instances that
// have sent too few reports to compute a rate of use don't count, because their use can't be predicted yet.
func (s *State) updateQuotaShares() {
	reporting, groupMembers := 1, 1+len(s.members)
	for _, p := range s.peers {
		if p.reportCount >= minRateReports {
			reporting++
		}
	}
	shares := wigeonquota.Shares{
		Share: min(float64(reporting)/float64(s.instances), 1), GroupFairShare: 1, MemberShare: 1 / float64(groupMembers),
	}
	if s.instances > maxUngroupedInstances {
		shares.GroupFairShare = min(float64(groupMembers)/float64(s.instances), 1)
	}
	for _, q := range s.quotas {
		q.SetShares(shares, s.now)
	}
}

// expirePeers removes the instances whose latest report is too old to rely on. Instances of other groups have a longer
// timeout, because they report less often than the members of this instance's group.
func (s *State) expirePeers() {
	for name, p := range s.peers {
		timeout := sameGroupReportTimeout
		if !p.inGroup {
			timeout = otherGroupReportTimeout
		}
		if s.now-p.reportedAt > timeout {
			s.removePeer(name, p)
		}
	}
}

// Load returns the report of this instance to the others: its running and queued requests and its use of quotas, so
// that all instances see nearly the same load. All lists are sorted by name.
func (s *State) Load() wigeonshift.LoadNotice {
	var out wigeonshift.LoadNotice
	for id, e := range s.endpoints {
		if e.ownLoad.running > 0 || e.rejections > 0 && e.pool.brittle != nil {
			out.Endpoints = append(out.Endpoints, wigeonshift.EndpointLoad{
				Endpoint: id, Running: e.ownLoad.running, PrefillTokens: e.ownLoad.prefill, ReservedTokens: e.ownLoad.reservedTokens,
				Rejections: e.rejections,
			})
		}
	}
	for name, q := range s.quotas {
		if q.Used() > 0 {
			out.Organisations = append(out.Organisations, wigeonshift.OrganisationUse{
				Organisation: name, Units: q.Used(), RemainingUnits: q.Balance(s.now),
			})
		}
	}
	for name, p := range s.pools {
		if len(p.queue.jobs) > 0 {
			counts := p.waitingCounts(s.now)
			out.Services = append(out.Services, wigeonshift.ServiceWait{Service: name, QueuedByLevel: counts.trimmed()})
		}
	}
	out.Limits = s.limitReports()
	out.Rollouts = s.rolloutReports()
	out.Misplaced = s.misplacedReports()
	out.Leaving = s.leavingReports()
	slices.SortFunc(out.Services, func(a, b wigeonshift.ServiceWait) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(out.Endpoints, func(a, b wigeonshift.EndpointLoad) int {
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	slices.SortFunc(out.Organisations, func(a, b wigeonshift.OrganisationUse) int {
		return strings.Compare(a.Organisation, b.Organisation)
	})
	return out
}

// peerWaiting returns the number of requests that are queued for a service at the other instances of the group, by
// priority level. They count because they compete for the same free slots; other groups use mainly other endpoints.
func (s *State) peerWaiting(service string) waitingCounts {
	var sum waitingCounts
	for _, m := range s.members {
		for level, n := range m.waiting[service] {
			sum[level] += n
		}
	}
	return sum
}

// hasPrecedence reports whether this instance comes first at an endpoint among the instances of its group with
// requests queued at the priority level or before it, so that they don't all send a request to the same free slot. The
// order is the same on all instances and differs between endpoints.
func (s *State) hasPrecedence(e *endpoint, level int) bool {
	own := wigeonshift.RendezvousScore(e.record.ID, s.settings.Instance)
	for _, m := range s.members {
		if m.waiting[e.pool.name].countUpTo(level) == 0 {
			continue
		}
		if score := wigeonshift.RendezvousScore(e.record.ID, m.name); score > own {
			return false
		}
	}
	return true
}
