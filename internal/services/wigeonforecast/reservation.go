package wigeonforecast

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"
)

const (
	// MaxReservations is the number of reservations that are kept for a service. Further ones aren't made.
	MaxReservations = 256
	// MaxNoticeReservations is the number of reservations in a load notice. Older ones are left out.
	MaxNoticeReservations = 32
	// noticeAge is the age up to which a reservation is in load notices. Instances of other groups get one every 2 s.
	noticeAge = 2100 * time.Millisecond
	// earlyReturn and lateReturn are how long before and after its return time a caller's reservation holds.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = 500 * time.Millisecond
)

// Reservation is a future start that is held for a refused caller.
type Reservation struct {
	// Caller is the fingerprint of the caller's request.
	Caller wigeonshift.Fingerprint
	// Level is the priority level of the request once its caller returns.
	Level int
	// MadeAt is the time of the refusal and At the return time, on the instance's clock.
	MadeAt, At time.Duration
	// IsOwn is set if this instance made it. Elsewhere is set if its capacity is that of another group.
	IsOwn, Elsewhere bool
}

// holds reports whether a caller that returns at a time returns in its span.
func (r Reservation) holds(at time.Duration) bool {
	return at >= r.At-earlyReturn && at <= r.At+lateReturn
}

// Reservations are those of one service, in the order of their return times. The zero value has none.
type Reservations struct {
	list []Reservation
}

// Len returns the number of reservations.
func (r *Reservations) Len() int { return len(r.list) }

// Add adds a reservation, unless its caller has one or there are too many, and reports whether it did.
func (r *Reservations) Add(x Reservation) bool {
	if len(r.list) >= MaxReservations || r.index(x.Caller) >= 0 {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.list, x, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Caller, b.Caller))
	})
	r.list = slices.Insert(r.list, i, x)
	return true
}

// Take removes the reservation of a caller that returns at a time, and reports whether there was one and whether it holds.
func (r *Reservations) Take(caller wigeonshift.Fingerprint, at time.Duration) (found, holds bool) {
	i := r.index(caller)
	if i < 0 {
		return false, false
	}
	holds = r.list[i].holds(at)
	r.list = slices.Delete(r.list, i, i+1)
	return true, holds
}

// Expire removes the reservations whose spans have ended. Most callers return at another instance, so this one can't tell whether they
// have.
func (r *Reservations) Expire(at time.Duration) {
	r.list = slices.DeleteFunc(r.list, func(x Reservation) bool { return at > x.At+lateReturn })
}

// Ahead returns the times from now at which reservations of a level and before it take a slot of this group.
func (r *Reservations) Ahead(level int, now time.Duration) []time.Duration {
	var times []time.Duration
	for _, x := range r.list {
		if x.Level <= level && !x.Elsewhere {
			times = append(times, max(x.At-now, 0))
		}
	}
	return times
}

// ForNotice returns the newest reservations that this instance made, at most MaxNoticeReservations.
func (r *Reservations) ForNotice(now time.Duration) []Reservation {
	var own []Reservation
	for _, x := range r.list {
		if x.IsOwn && now-x.MadeAt <= noticeAge {
			own = append(own, x)
		}
	}
	slices.SortFunc(own, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(b.MadeAt, a.MadeAt), cmp.Compare(a.Caller, b.Caller))
	})
	return own[:min(len(own), MaxNoticeReservations)]
}

func (r *Reservations) index(caller wigeonshift.Fingerprint) int {
	return slices.IndexFunc(r.list, func(x Reservation) bool { return x.Caller == caller })
}
