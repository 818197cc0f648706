package wigeonsession

import (
	"slices"
	"sync"
	"sync/atomic"
)

// linkSet holds all open links. It is read several times a second and seldom changed, so each change makes a new list.
type linkSet struct {
	mu   sync.Mutex
	list atomic.Pointer[[]*link]
}

// all returns the links; the list is never modified.
func (s *linkSet) all() []*link {
	if list := s.list.Load(); list != nil {
		return *list
	}
	return nil
}

// add adds a link.
func (s *linkSet) add(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(slices.Clone(s.all()), l)
	s.list.Store(&list)
}

// remove removes a link.
func (s *linkSet) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.all()), func(other *link) bool { return other == l })
	s.list.Store(&list)
}
