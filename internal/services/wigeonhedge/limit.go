package wigeonhedge

import (
	"time"

	"wigeonshift/internal/services/wigeonbudget"
)

// retryReserve is the share of the retry budget that hedges leave to retries after failures.
const retryReserve = 0.5

// LeavesReserve reports whether a hedge leaves the reserve for retries after failures, given the decision of the retry budget on a
// further resend.
func LeavesReserve(d wigeonbudget.Decision) bool {
	return d.Limit-float64(d.Resends)-retryReserve*d.Limit >= 1
}

// Limits limit the hedges of each service to a share of its requests. They count as the retry budget does, so that the share holds over
// all instances if each one keeps its own. Their methods must not be called concurrently.
type Limits struct {
	share     float64
	window    time.Duration
	byService map[string]*wigeonbudget.Budget
}

// NewLimits returns limits that know of no requests. share is the largest ratio of hedges to requests in a window.
func NewLimits(share float64, window time.Duration) *Limits {
	return &Limits{share: share, window: window, byService: map[string]*wigeonbudget.Budget{}}
}

// limit returns the limit of a service and creates it if needed.
func (l *Limits) limit(service string) *wigeonbudget.Budget {
	b := l.byService[service]
	if b == nil {
		b = wigeonbudget.New(l.share, l.window)
		l.byService[service] = b
	}
	return b
}

// CountRequest counts a new request.
func (l *Limits) CountRequest(at time.Duration, service string) { l.limit(service).CountRequest(at) }

// Allow reports whether one more hedge is allowed now.
func (l *Limits) Allow(at time.Duration, service string) bool {
	return l.limit(service).Decide(at, 0, 0).Allowed
}

// CountHedge counts a hedge that is sent now.
func (l *Limits) CountHedge(at time.Duration, service string) { l.limit(service).CountResend(at) }
