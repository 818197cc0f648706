package wigeonstorecall

import (
	"context"
	"sync/atomic"
	"time"
)

// Arrival tells whether the response to a call is arriving, so that a call whose response takes long isn't taken for one on a silent
// connection. Its methods may be called concurrently, and on nil.
type Arrival struct {
	// latest is when a part of the response last arrived; nil if none has.
	latest atomic.Pointer[time.Time]
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
		a.latest.Store(&now)
	}
}

// Latest returns when a part of the response last arrived; the zero time if none has.
func (a *Arrival) Latest() time.Time {
	if a == nil {
		return time.Time{}
	}
	if latest := a.latest.Load(); latest != nil {
		return *latest
	}
	return time.Time{}
}
