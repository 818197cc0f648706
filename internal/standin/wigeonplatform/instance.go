package wigeonplatform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// instanceEvent is one change that the list shows after its lag.
type instanceEvent struct {
	at       time.Time
	instance wigeonshift.Instance
	removed  bool
}

// instanceLog holds the list as it is shown and the changes it doesn't show yet.
type instanceLog struct {
	shown map[string]wigeonshift.Instance
	// known is the true state, without lag.
	known  map[string]wigeonshift.Instance
	events []instanceEvent
}

func newInstanceLog() instanceLog {
	return instanceLog{shown: map[string]wigeonshift.Instance{}, known: map[string]wigeonshift.Instance{}}
}

func (l *instanceLog) seed(i wigeonshift.Instance) {
	l.shown[i.ID], l.known[i.ID] = i, i
}

func (l *instanceLog) add(e instanceEvent) {
	if e.removed {
		delete(l.known, e.instance.ID)
	} else {
		l.known[e.instance.ID] = e.instance
	}
	l.events = append(l.events, e)
}

// advance shows every change that happened no later than a time.
func (l *instanceLog) advance(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := l.events[0]
		l.events = l.events[1:]
		if e.removed {
			delete(l.shown, e.instance.ID)
		} else {
			l.shown[e.instance.ID] = e.instance
		}
	}
}

// PutInstance tells the core that an instance exists, or has changed its state. The list shows it after the
// lag. An older instance at the same address is gone.
func (c *Core) PutInstance(i wigeonshift.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.State == "" {
		i.State = wigeonshift.InstanceLive
	}
	now := time.Now()
	for _, k := range c.instances.known {
		if k.Address == i.Address && k.ID != i.ID {
			c.instances.add(instanceEvent{at: now, instance: k, removed: true})
		}
	}
	c.instances.add(instanceEvent{at: now, instance: i})
}

// RemoveInstance tells the core that an instance is gone. The list names it until the lag has passed.
func (c *Core) RemoveInstance(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.instances.known[id]; ok {
		c.instances.add(instanceEvent{at: time.Now(), instance: i, removed: true})
	}
}

// KnownInstances returns the true list, without lag.
func (c *Core) KnownInstances() []wigeonshift.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedInstances(c.instances.known)
}

// Instances returns the lagging list.
func (c *Core) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	var list []wigeonshift.Instance
	err := c.call(ctx, listRead, func() error {
		c.instances.advance(time.Now().Add(-c.listLag))
		list = sortedInstances(c.instances.shown)
		return nil
	})
	return list, err
}

func sortedInstances(m map[string]wigeonshift.Instance) []wigeonshift.Instance {
	return slices.SortedFunc(maps.Values(m), func(a, b wigeonshift.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
}
