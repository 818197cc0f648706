package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// tierList links the accepted requests of one tier in order of arrival.
type tierList struct {
	rank        wigeonshift.TierRank
	first, last *EntryRequest
}

// tierLists holds the lists of one product, the lowest tier (largest rank) first.
type tierLists []*tierList

// listFor returns the list of a rank and creates it if needed.
func (l *tierLists) listFor(rank wigeonshift.TierRank) *tierList {
	i, found := slices.BinarySearchFunc(*l, rank, func(t *tierList, r wigeonshift.TierRank) int { return int(r - t.rank) })
	if !found {
		*l = slices.Insert(*l, i, &tierList{rank: rank})
	}
	return (*l)[i]
}

// add adds an accepted request to the state and to the end of its tier's list.
func (e *EntryState) add(r *EntryRequest) {
	if e.Requests == nil {
		e.Requests = map[wigeonshift.RequestID]*EntryRequest{}
		e.tiers = map[string]*tierLists{}
	}
	e.Requests[r.PermitRequest.ID] = r
	lists := e.tiers[r.PermitRequest.Product]
	if lists == nil {
		lists = &tierLists{}
		e.tiers[r.PermitRequest.Product] = lists
	}
	t := lists.listFor(r.PermitRequest.Rank)
	r.tier, r.previous = t, t.last
	if t.last != nil {
		t.last.next = r
	} else {
		t.first = r
	}
	t.last = r
}

// remove removes a request from the state and from its tier's list.
func (e *EntryState) remove(r *EntryRequest) {
	delete(e.Requests, r.PermitRequest.ID)
	r.unlink()
}

// unlink removes a request from its tier's list, if it is in one.
func (r *EntryRequest) unlink() {
	if r.tier == nil {
		return
	}
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		r.tier.first = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	} else {
		r.tier.last = r.previous
	}
	r.tier, r.previous, r.next = nil, nil, nil
}

// victim returns the request to displace for a new one of the given rank, or nil if there is none. It is the newest
// displaceable request of the product's lowest tier that has one; the tier must be lower than the rank.
func (e *EntryState) victim(product string, rank wigeonshift.TierRank) *EntryRequest {
	lists := e.tiers[product]
	if lists == nil {
		return nil
	}
	for _, t := range *lists {
		if t.rank <= rank {
			return nil
		}
		for r := t.last; r != nil; r = r.previous {
			if !r.mustRunToEnd() {
				return r
			}
		}
	}
	return nil
}

// makeRoom displaces a request of a lower tier when the instance is full. It returns the effects that do so; ok is
// false if no request can be displaced, and the new one is then refused.
func (e *EntryState) makeRoom(ask wigeonshift.PermitRequest) (effects []Effect, ok bool) {
	if e.MaxRequests <= 0 || len(e.Requests) < e.MaxRequests {
		return nil, true
	}
	r := e.victim(ask.Product, ask.Rank)
	if r == nil {
		return nil, false
	}
	// An unlinked request is not displaced a second time.
	r.unlink()
	return []Effect{Displace{Request: r.PermitRequest.ID}}, true
}
