package wigeonsession

import (
	"slices"
	"sync"
	"sync/atomic"
)

// linkSet holds all open links. It is copied on write because it is read several times a second and rarely changed.
type linkSet struct {
	mu   sync.Mutex
	list atomic.Pointer[[]*link]
}

// all returns the links. The caller must not modify the slice.
func (s *linkSet) all() []*link {
	if list := s.list.Load(); list != nil {
		return *list
	}
	return nil
}

func (s *linkSet) add(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(slices.Clone(s.all()), l)
	s.list.Store(&list)
}

func (s *linkSet) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.all()), func(other *link) bool { return other == l })
	s.list.Store(&list)
}
