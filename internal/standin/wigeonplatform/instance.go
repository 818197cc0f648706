package wigeonplatform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// instanceEvent is one change of an instance, which the list shows after its lag.
type instanceEvent struct {
	at       time.Time
	instance wigeonshift.Instance
	removed  bool
}

// instanceLog holds the visible instance list and the changes that are not visible yet.
type instanceLog struct {
	visible map[string]wigeonshift.Instance
	// current is the state without lag.
	current map[string]wigeonshift.Instance
	events  []instanceEvent
}

func newInstanceLog() instanceLog {
	return instanceLog{visible: map[string]wigeonshift.Instance{}, current: map[string]wigeonshift.Instance{}}
}

// addVisible adds an instance without lag.
func (l *instanceLog) addVisible(i wigeonshift.Instance) {
	l.visible[i.ID], l.current[i.ID] = i, i
}

// add records a change, which stays invisible until applyEvents reaches it.
func (l *instanceLog) add(e instanceEvent) {
	if e.removed {
		delete(l.current, e.instance.ID)
	} else {
		l.current[e.instance.ID] = e.instance
	}
	l.events = append(l.events, e)
}

// applyEvents makes every change up to a time visible.
func (l *instanceLog) applyEvents(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := l.events[0]
		l.events = l.events[1:]
		if e.removed {
			delete(l.visible, e.instance.ID)
		} else {
			l.visible[e.instance.ID] = e.instance
		}
	}
}

// PutInstance adds an instance or updates its state. The list shows the change after the lag. Another instance at the
// same address is removed, because a restarted process has a new ID.
func (c *Core) PutInstance(i wigeonshift.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.State == "" {
		i.State = wigeonshift.InstanceLive
	}
	now := time.Now()
	for _, k := range c.instances.current {
		if k.Address == i.Address && k.ID != i.ID {
			c.instances.add(instanceEvent{at: now, instance: k, removed: true})
		}
	}
	c.instances.add(instanceEvent{at: now, instance: i})
}

// RemoveInstance removes an instance. The list still contains it until the lag has passed.
func (c *Core) RemoveInstance(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, ok := c.instances.current[id]; ok {
		c.instances.add(instanceEvent{at: time.Now(), instance: i, removed: true})
	}
}

// CurrentInstances returns the instances without the list lag.
func (c *Core) CurrentInstances() []wigeonshift.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedInstances(c.instances.current)
}

// Instances returns the instance list, which shows changes only after the list lag.
func (c *Core) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	var list []wigeonshift.Instance
	err := c.call(ctx, listRead, func() error {
		c.instances.applyEvents(time.Now().Add(-c.listLag))
		list = sortedInstances(c.instances.visible)
		return nil
	})
	return list, err
}

func sortedInstances(m map[string]wigeonshift.Instance) []wigeonshift.Instance {
	return slices.SortedFunc(maps.Values(m), func(a, b wigeonshift.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
}
