package wigeongateway

import (
	"slices"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
)

// newInstancePeriod is how long an instance counts as new after its start. An instance needs several load notices to learn
// how much of the quotas the other instances use.
const newInstancePeriod = 3 * time.Second

// membership holds the other instances, divided into those of this instance's group and those of other groups.
type membership struct {
	self wigeonshift.Instance

	mu                     sync.Mutex
	sameGroup, otherGroups []wigeonshift.Instance
	// firstSeenAt holds, by instance ID, when each known instance was first set or added.
	firstSeenAt map[string]time.Time
	// firstSetAt is when the other instances were first set. This instance counts as new for newInstancePeriod from then on.
	firstSetAt time.Time
}

// add adds an instance that a peer session has shown to run, in place of any other at its address. It returns all
// instances and true, or false if the instance is already known or has this instance's address. This lets an
// instance that starts while the store is down and its peers find each other.
func (m *membership) add(i wigeonshift.Instance, at time.Time) ([]wigeonshift.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := slices.Concat(m.sameGroup, m.otherGroups)
	if i.Address == m.self.Address || slices.ContainsFunc(others, func(o wigeonshift.Instance) bool { return o.ID == i.ID }) {
		return nil, false
	}
	others = slices.DeleteFunc(others, func(o wigeonshift.Instance) bool { return o.Address == i.Address })
	return m.replaceLocked(append(others, i), at), true
}

// merge adds instances whose addresses are not known, as another instance knows them, and returns all instances. Those that
// are known stay, because their sessions have shown that they run.
func (m *membership) merge(instances []wigeonshift.Instance, at time.Time) []wigeonshift.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := slices.Concat(m.sameGroup, m.otherGroups)
	for _, i := range instances {
		if !slices.ContainsFunc(others, func(o wigeonshift.Instance) bool { return o.Address == i.Address }) {
			others = append(others, i)
		}
	}
	return m.replaceLocked(others, at)
}

// all returns all instances, this one first.
func (m *membership) all() []wigeonshift.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Concat([]wigeonshift.Instance{m.self}, m.sameGroup, m.otherGroups)
}

// replace replaces the other instances and returns all instances, this one first. It skips every instance with this
// instance's address, such as its own row.
func (m *membership) replace(instances []wigeonshift.Instance, at time.Time) []wigeonshift.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replaceLocked(instances, at)
}

// replaceLocked does the work of replace. The caller must hold mu.
func (m *membership) replaceLocked(instances []wigeonshift.Instance, at time.Time) []wigeonshift.Instance {
	all := []wigeonshift.Instance{m.self}
	for _, i := range instances {
		if i.Address != m.self.Address {
			all = append(all, i)
		}
	}
	groups := wigeondispatch.NewGroups(all)
	if m.firstSetAt.IsZero() {
		m.firstSetAt = at
	}
	known := m.firstSeenAt
	m.sameGroup, m.otherGroups, m.firstSeenAt = nil, nil, map[string]time.Time{}
	for _, i := range all[1:] {
		if groups.SameGroup(i.ID, m.self.ID) {
			m.sameGroup = append(m.sameGroup, i)
		} else {
			m.otherGroups = append(m.otherGroups, i)
		}
		m.firstSeenAt[i.ID] = at
		if since, ok := known[i.ID]; ok {
			m.firstSeenAt[i.ID] = since
		}
	}
	return all
}

// peers returns the instances of this instance's group and those of other groups.
func (m *membership) peers() (sameGroup, otherGroups []wigeonshift.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sameGroup, m.otherGroups
}

// newInstances returns the new instances of other groups, or all instances of other groups while this instance is new.
func (m *membership) newInstances(at time.Time) []wigeonshift.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Sub(m.firstSetAt) < newInstancePeriod {
		return m.otherGroups
	}
	var out []wigeonshift.Instance
	for _, i := range m.otherGroups {
		if at.Sub(m.firstSeenAt[i.ID]) < newInstancePeriod {
			out = append(out, i)
		}
	}
	return out
}
