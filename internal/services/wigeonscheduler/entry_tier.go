package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// tierList links the accepted requests of one tier in the order of arrival.
type tierList struct {
	rank        wigeonshift.TierRank
	first, last *EntryRequest
}

// tierLists holds the lists of one product, the lowest tier first.
type tierLists []*tierList

// list returns the list of a rank and makes it if needed.
func (l *tierLists) list(rank wigeonshift.TierRank) *tierList {
	i, found := slices.BinarySearchFunc(*l, rank, func(t *tierList, r wigeonshift.TierRank) int { return int(r - t.rank) })
	if !found {
		*l = slices.Insert(*l, i, &tierList{rank: rank})
	}
	return (*l)[i]
}

// add keeps an accepted request.
func (e *EntryState) add(r *EntryRequest) {
	if e.Requests == nil {
		e.Requests = map[wigeonshift.RequestID]*EntryRequest{}
		e.tiers = map[string]*tierLists{}
	}
	e.Requests[r.Ask.ID] = r
	lists := e.tiers[r.Ask.Product]
	if lists == nil {
		lists = &tierLists{}
		e.tiers[r.Ask.Product] = lists
	}
	t := lists.list(r.Ask.Rank)
	r.tier, r.previous = t, t.last
	if t.last != nil {
		t.last.next = r
	} else {
		t.first = r
	}
	t.last = r
}

// remove forgets a request.
func (e *EntryState) remove(r *EntryRequest) {
	delete(e.Requests, r.Ask.ID)
	r.unlink()
}

// unlink takes a request out of its tier's list.
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

// victim returns the newest request of the product's lowest tier that may give way to a rank, nil if there is none.
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
			if !r.mustFinish() {
				return r
			}
		}
	}
	return nil
}

// makeRoom lets a request of a lower tier give way when the instance is full; ok is false when there is none.
func (e *EntryState) makeRoom(ask wigeonshift.PermitRequest) (effects []Effect, ok bool) {
	if e.MaxRequests <= 0 || len(e.Requests) < e.MaxRequests {
		return nil, true
	}
	r := e.victim(ask.Product, ask.Rank)
	if r == nil {
		return nil, false
	}
	// It gives way once.
	r.unlink()
	return []Effect{Displace{Request: r.Ask.ID}}, true
}
