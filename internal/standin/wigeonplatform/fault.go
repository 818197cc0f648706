package wigeonplatform

import (
	"context"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"

	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

// Faults selects the faults that the core simulates. The zero value is a healthy platform.
type Faults struct {
	// Outage refuses every call with an error that proves that the call had no effect.
	Outage bool `json:"outage,omitempty"`
	// StoreOutage refuses only calls to the table and the object store.
	StoreOutage bool `json:"storeOutage,omitempty"`
	// Silent ignores every call: it has no effect and gets no response until the caller's deadline.
	Silent bool `json:"silent,omitempty"`
	// LatencyMS delays each call, half of the time before its effect and half after it.
	LatencyMS int64 `json:"latencyMs,omitempty"`
	// LostAnswers is the share of writes, from 0 to 1, that take effect but get no response.
	LostAnswers float64 `json:"lostAnswers,omitempty"`
	// LoseNext is the number of coming writes whose response is lost. Each of them decrements it.
	LoseNext int `json:"loseNext,omitempty"`
	// LateByMS delays the effect of writes whose response is lost, so the caller gets its error first.
	LateByMS int64 `json:"lateByMs,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the rate of accepted calls; 0 means no limit.
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
	// ListLagMS replaces the lag of the instance list; 0 leaves the lag unchanged.
	ListLagMS int64 `json:"listLagMs,omitempty"`
}

// SetFaults replaces the active faults.
func (c *Core) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	c.readLimiter = newLimiter(f.ReadsPerSecond)
	c.writeLimiter = newLimiter(f.WritesPerSecond)
	if f.ListLagMS > 0 {
		c.listLag = time.Duration(f.ListLagMS) * time.Millisecond
	}
}

// Faults returns the active faults.
func (c *Core) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// newLimiter returns a limiter with a burst of one second's calls; a rate of 0 or less means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// callKind classifies a call, because some faults affect only some kinds.
type callKind struct {
	// write is set for calls that may change state.
	write bool
	// store is set for calls to the table and the object store.
	store bool
}

// Kinds of calls.
var (
	storeRead  = callKind{store: true}
	storeWrite = callKind{store: true, write: true}
	listRead   = callKind{}
	slotWrite  = callKind{write: true}
)

// call simulates the active faults around one call. effect runs at most once, while c.mu is held.
func (c *Core) call(ctx context.Context, kind callKind, effect func() error) error {
	f, lost, err := c.admit(kind)
	if err != nil {
		return err
	}
	if f.Silent {
		<-ctx.Done()
		return noResponseError(kind)
	}
	half := time.Duration(f.LatencyMS) * time.Millisecond / 2
	if !sleep(ctx, half) {
		return noResponseError(kind)
	}
	if lost {
		c.runUnanswered(time.Duration(f.LateByMS)*time.Millisecond, effect)
		return noResponseError(kind)
	}
	c.mu.Lock()
	err = effect()
	c.mu.Unlock()
	if !sleep(ctx, half) {
		return noResponseError(kind)
	}
	return err
}

// admit counts a call. It refuses the call or decides whether the response is lost.
func (c *Core) admit(kind callKind) (f Faults, lost bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limiter := c.readLimiter
	if kind.write {
		limiter = c.writeLimiter
		c.writeCount.Add(1)
	} else {
		c.readCount.Add(1)
	}
	if c.faults.Outage || (c.faults.StoreOutage && kind.store) {
		return c.faults, false, oops.In("platform").Wrap(wigeonshift.ErrUnavailable)
	}
	if !limiter.Allow() {
		return c.faults, false, oops.In("platform").Wrap(wigeonshift.ErrThrottled)
	}
	if kind.write {
		lost = c.takeLostResponse()
	}
	return c.faults, lost, nil
}

// takeLostResponse decides whether the response of a write is lost, and counts LoseNext down.
func (c *Core) takeLostResponse() bool {
	if c.faults.LoseNext > 0 {
		c.faults.LoseNext--
		return true
	}
	return c.faults.LostAnswers > 0 && c.random.Float64() < c.faults.LostAnswers
}

// runUnanswered runs effect now or after a delay, and discards its result because the response is lost.
func (c *Core) runUnanswered(delay time.Duration, effect func() error) {
	apply := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_ = effect()
	}
	if delay <= 0 {
		apply()
		return
	}
	time.AfterFunc(delay, apply)
}

// noResponseError is the error of a call without a response. The outcome of a read is never unknown, because a read
// has no effect.
func noResponseError(kind callKind) error {
	if !kind.write {
		return oops.In("platform").Wrap(wigeonshift.ErrUnavailable)
	}
	return oops.In("platform").Wrap(wigeonshift.ErrOutcomeUnknown)
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	return wigeonclock.Sleep(ctx, d)
}
