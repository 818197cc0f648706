package wigeonowner

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// counterKey identifies a counter by its name and the value of its only tag.
type counterKey struct {
	name, label string
}

// counters caches tally counters by name and label.
type counters struct {
	scope tally.Scope

	mu    sync.Mutex
	cache map[counterKey]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{scope: scope, cache: map[counterKey]tally.Counter{}}
}

// add increases a counter. A non-empty label becomes the value of the tag "reason".
func (c *counters) add(name, label string, delta int64) {
	key := counterKey{name, label}
	c.mu.Lock()
	counter := c.cache[key]
	if counter == nil {
		scope := c.scope
		if label != "" {
			scope = scope.Tagged(map[string]string{"reason": label})
		}
		counter = scope.Counter(name)
		c.cache[key] = counter
	}
	c.mu.Unlock()
	counter.Inc(delta)
}
