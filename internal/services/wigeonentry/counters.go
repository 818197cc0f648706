package wigeonentry

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// counters keeps the counters of one scope by name and reason.
type counters struct {
	scope tally.Scope
	known sync.Map // counterKey to tally.Counter
}

type counterKey struct{ name, reason string }

func newCounters(scope tally.Scope) *counters { return &counters{scope: scope} }

// add adds to the counter with a name and a reason.
func (c *counters) add(name, reason string, delta int64) {
	key := counterKey{name, reason}
	counter, ok := c.known.Load(key)
	if !ok {
		scope := c.scope
		if reason != "" {
			scope = scope.Tagged(map[string]string{"reason": reason})
		}
		counter, _ = c.known.LoadOrStore(key, scope.Counter(name))
	}
	counter.(tally.Counter).Inc(delta)
}
