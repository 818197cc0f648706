package wigeonstorecall

import (
	"context"
	"sync/atomic"
	"time"
)

// Arrival tells whether the response to a call is arriving, so that a call whose response takes long isn't taken for one on a silent
// connection. Its methods may be called concurrently, Record also on nil.
type Arrival struct {
	// first and latest are when the first and the latest part of the response have arrived; nil if none has.
	first, latest atomic.Pointer[time.Time]
}

type arrivalKey struct{}

// WithArrival returns a context for a call that records in the returned Arrival what arrives of its response.
func WithArrival(ctx context.Context) (context.Context, *Arrival) {
	a := &Arrival{}
	return context.WithValue(ctx, arrivalKey{}, a), a
}

// ArrivalOf returns the Arrival of a call's context; nil if it has none.
func ArrivalOf(ctx context.Context) *Arrival {
	a, _ := ctx.Value(arrivalKey{}).(*Arrival)
	return a
}

// Record records that a part of the response has arrived.
func (a *Arrival) Record() {
	if a != nil {
		now := time.Now()
		a.first.CompareAndSwap(nil, &now)
		a.latest.Store(&now)
	}
}

// First returns when the first part of the response has arrived; the zero time if none has.
func (a *Arrival) First() time.Time { return timeOf(&a.first) }

// Latest returns when a part of the response last arrived; the zero time if none has.
func (a *Arrival) Latest() time.Time { return timeOf(&a.latest) }

func timeOf(p *atomic.Pointer[time.Time]) time.Time {
	if at := p.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
