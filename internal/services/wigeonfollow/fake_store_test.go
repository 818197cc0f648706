package wigeonfollow_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"wigeonshift"
)

// fakeStore is an in-memory store with failures that a test sets.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	rows     map[wigeonshift.RoutingTable]map[string]wigeonshift.TableRow
	changes  map[wigeonshift.RoutingTable][]wigeonshift.TableRow
	down     bool
	// silent makes calls hang until their context ends, even if silent is cleared in the meantime.
	silent bool
	// compactedRevision is the revision up to which the change history has been dropped.
	compactedRevision uint64
	// era counts the returns of the store from an older copy.
	era uint64
	// calls and reconnects count those of the followers.
	calls, reconnects int
	changed           chan struct{}
	// startedAt is the start of the store's clock. Calls that began before silencedAt get no response.
	startedAt, silencedAt time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows:    map[wigeonshift.RoutingTable]map[string]wigeonshift.TableRow{},
		changes: map[wigeonshift.RoutingTable][]wigeonshift.TableRow{},
		changed: make(chan struct{}), startedAt: time.Now(),
	}
}

// silenceOpen makes the connections of all open calls silent for good. New calls work.
func (s *fakeStore) silenceOpen() {
	s.update(func(s *fakeStore) { s.silencedAt = time.Now() })
}

func (s *fakeStore) put(table wigeonshift.RoutingTable, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := wigeonshift.TableRow{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	if s.rows[table] == nil {
		s.rows[table] = map[string]wigeonshift.TableRow{}
	}
	s.rows[table][key] = r
	if r.Deleted {
		delete(s.rows[table], key)
	}
	s.changes[table] = append(s.changes[table], r)
	s.wake()
}

// wake makes held polls look at the store again. The caller must hold mu.
func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// nowMillis returns the time on the store's clock.
func (s *fakeStore) nowMillis() int64 { return 1 + time.Since(s.startedAt).Milliseconds() }

// update changes the store under its lock.
func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// restore returns the store to an older copy after a short outage: it drops the changes after a revision, whose numbers
// are given out again.
func (s *fakeStore) restore(revision uint64) {
	s.update(func(s *fakeStore) {
		s.down = true
		s.wake()
	})
	advance(200 * time.Millisecond)
	s.update(func(s *fakeStore) {
		s.down, s.revision = false, revision
		s.era++
		for table, changes := range s.changes {
			s.changes[table] = slices.DeleteFunc(changes, func(r wigeonshift.TableRow) bool { return r.Revision > revision })
			s.rows[table] = map[string]wigeonshift.TableRow{}
			for _, r := range s.changes[table] {
				s.rows[table][r.Key] = r
				if r.Deleted {
					delete(s.rows[table], r.Key)
				}
			}
		}
	})
}

// listDelay lets the fake clock advance if calls never stop. The clock stands still while a goroutine waits for a mutex, so
// mu must not be held during the delay.
func (s *fakeStore) listDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == 0 {
		return 0
	}
	return time.Millisecond
}

func (s *fakeStore) List(_ context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	time.Sleep(s.listDelay())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
	}
	page := wigeonshift.TablePage{Revision: s.revision, Era: s.era, NowMillis: s.nowMillis()}
	for _, r := range s.rows[table] {
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

func (s *fakeStore) Follow(
	ctx context.Context, table wigeonshift.RoutingTable, after uint64, wait time.Duration,
) (wigeonshift.TablePage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	silent, began := s.silent, time.Now()
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return wigeonshift.TablePage{}, wigeonshift.ErrOutcomeUnknown
	}
	for {
		s.mu.Lock()
		s.calls++
		if s.down {
			s.mu.Unlock()
			return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
		}
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			return wigeonshift.TablePage{}, wigeonshift.ErrHistoryLost
		}
		if !began.After(s.silencedAt) {
			s.mu.Unlock()
			<-ctx.Done()
			return wigeonshift.TablePage{}, wigeonshift.ErrOutcomeUnknown
		}
		page := wigeonshift.TablePage{Revision: s.revision, Era: s.era, NowMillis: s.nowMillis()}
		for _, r := range s.changes[table] {
			if r.Revision > after {
				page.Rows = append(page.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			page.NowMillis = s.nowMillis()
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *fakeStore) Reconnect() { s.update(func(s *fakeStore) { s.reconnects++ }) }

func (s *fakeStore) Commit(_ context.Context, table wigeonshift.RoutingTable, tx wigeonshift.Transaction) (uint64, error) {
	s.mu.Lock()
	down, met := s.down, true
	for _, c := range tx.Conditions {
		met = met && s.rows[table][c.Key].Revision == c.Revision
	}
	s.mu.Unlock()
	if down {
		return 0, wigeonshift.ErrUnavailable
	}
	if !met {
		return 0, wigeonshift.ErrConditionFailed
	}
	for _, w := range tx.Writes {
		s.put(table, w.Key, string(w.Value))
	}
	return 0, nil
}
