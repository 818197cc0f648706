package wigeonentry

import (
	"sync"
	"time"

	"wigeonshift"

	"github.com/uber-go/tally/v4"
)

// Names of metrics by product and tier.
const (
	metricArrived    = "entryArrived"
	metricCompleted  = "entryCompleted"
	metricFirstToken = "entryFirstToken"
)

// firstTokenBuckets are the upper bounds of the histogram of the time to the first token.
var firstTokenBuckets = tally.DurationBuckets{
	0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1700 * time.Millisecond, 3400 * time.Millisecond, 7 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute,
}

// counters caches the counters of a scope by name and reason, and the metrics of each tier.
type counters struct {
	scope   tally.Scope
	reasons sync.Map // map[reasonKey]tally.Counter
	tiers   sync.Map // map[tierKey]*tierMetrics
}

type reasonKey struct{ name, reason string }

type tierKey struct{ product, tier string }

// tierMetrics are the metrics of one tier of a product.
type tierMetrics struct {
	arrived    tally.Counter
	completed  tally.Counter
	firstToken tally.Histogram
}

func newCounters(scope tally.Scope) *counters { return &counters{scope: scope} }

// add adds delta to the counter with a name. If reason is not empty, the counter is tagged with it.
func (c *counters) add(name, reason string, delta int64) {
	key := reasonKey{name, reason}
	counter, ok := c.reasons.Load(key)
	if !ok {
		scope := c.scope
		if reason != "" {
			scope = scope.Tagged(map[string]string{"reason": reason})
		}
		counter, _ = c.reasons.LoadOrStore(key, scope.Counter(name))
	}
	counter.(tally.Counter).Inc(delta)
}

// tier returns the metrics of a request's tier.
func (c *counters) tier(pr wigeonshift.PermitRequest) *tierMetrics {
	key := tierKey{pr.Product, pr.Tier}
	m, ok := c.tiers.Load(key)
	if !ok {
		scope := c.scope.Tagged(map[string]string{"product": pr.Product, "tier": pr.Tier})
		m, _ = c.tiers.LoadOrStore(key, &tierMetrics{
			arrived:    scope.Counter(metricArrived),
			completed:  scope.Counter(metricCompleted),
			firstToken: scope.Histogram(metricFirstToken, firstTokenBuckets),
		})
	}
	return m.(*tierMetrics)
}
