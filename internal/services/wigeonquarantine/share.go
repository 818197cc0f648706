package wigeonquarantine

import (
	"math/rand/v2"
	"time"

	"wigeonshift"
)

// dueShare is a crash that will be shared at a time.
type dueShare struct {
	at    time.Time
	crash wigeonshift.Crash
}

// deferredWrite is a write that is done at a time unless the store shows its effect before.
type deferredWrite struct {
	at     time.Time
	change wigeonshift.Write
}

// ReportCrash adds a crash that this instance noticed. It shares the first crash of a request after shareDelay, unless the
// request is cleared until then, and all crashes of a request at once from the second on. A crash of another request with
// the same content counts as well, because a caller may change the rest.
func (s *Service) ReportCrash(c wigeonshift.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.record.Add(c) {
		return
	}
	s.states[RowKey(c)] = rowLocal
	related := s.record.Related(c)
	if len(related) == 1 {
		s.deferShareLocked(c)
		return
	}
	s.shareAllLocked(related)
	s.requestPublish()
}

// shareAllLocked shares those of some crashes that only this instance knows.
func (s *Service) shareAllLocked(crashes []wigeonshift.Crash) {
	for _, c := range crashes {
		if s.states[RowKey(c)] == rowLocal {
			s.shareLocked(c)
		}
	}
}

// deferShareLocked shares the first crash of a request later. Beyond this instance's part of maxFleetFirstCrashes the crash
// stays with this instance.
func (s *Service) deferShareLocked(c wigeonshift.Crash) {
	now := time.Now()
	if now.Sub(s.firstCrashesSince) > shareDelay {
		s.firstCrashesSince, s.firstCrashes = now, 0
	}
	s.firstCrashes++
	if s.firstCrashes > max(maxFleetFirstCrashes/s.instances, 1) {
		s.scope.Counter("crashesNotShared").Inc(1)
		return
	}
	s.dueShares[RowKey(c)] = dueShare{at: now.Add(shareDelay), crash: c}
}

// shareLocked writes the row of a crash that this instance noticed.
func (s *Service) shareLocked(c wigeonshift.Crash) {
	delete(s.dueShares, RowKey(c))
	s.states[RowKey(c)] = rowUnstored
	s.writeLocked(c)
}

// Unstored returns crashes that this instance shares and that the store has not shown yet. The caller sends them to other
// instances, so that these learn of them also while the store is down.
func (s *Service) Unstored() []wigeonshift.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unstored []wigeonshift.Crash
	for _, c := range s.record.All() {
		if s.states[RowKey(c)] == rowUnstored && len(unstored) < maxUnstored {
			unstored = append(unstored, c)
		}
	}
	return unstored
}

// Offer adds crashes that another instance has sent.
func (s *Service) Offer(crashes []wigeonshift.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range crashes {
		if s.record.Add(c) {
			s.states[RowKey(c)] = rowFromPeer
			s.shareAllLocked(s.record.Related(c))
			s.logLearned(c, "peer")
			s.requestPublish()
		}
	}
}

// sweep forgets expired crashes, removes their rows and does the writes that are due.
func (s *Service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.record.Expire(now) {
		key := RowKey(c)
		if s.states[key] != rowLocal {
			s.deferRemovalLocked(key)
		}
		s.forgetLocked(key)
		s.requestPublish()
	}
	for _, d := range s.dueShares {
		if now.After(d.at) {
			s.shareLocked(d.crash)
		}
	}
	for key, d := range s.deferred {
		if now.After(d.at) {
			delete(s.deferred, key)
			s.writer.Add(d.change)
		}
	}
}

// writeLocked writes the row of a crash.
func (s *Service) writeLocked(c wigeonshift.Crash) {
	if change, ok := s.rowWrite(c); ok {
		s.writer.Add(change)
	}
}

// deferWriteLocked writes the row of a crash after a random delay, unless another instance does so before.
func (s *Service) deferWriteLocked(c wigeonshift.Crash) {
	if change, ok := s.rowWrite(c); ok {
		s.deferred[change.Key] = deferredWrite{at: time.Now().Add(randomDelay(maxRewriteDelay)), change: change}
	}
}

// deferRemovalLocked removes a row of no use after a random delay, unless another instance does so before.
func (s *Service) deferRemovalLocked(key string) {
	s.deferred[key] = deferredWrite{
		at: time.Now().Add(randomDelay(maxExpiryDelay)), change: wigeonshift.Write{Key: key, Delete: true},
	}
}

func (s *Service) rowWrite(c wigeonshift.Crash) (change wigeonshift.Write, ok bool) {
	value, err := EncodeRow(c)
	if err != nil {
		s.log.WithError(err).WithField("row", RowKey(c)).Error("failed to encode a crash row")
		return wigeonshift.Write{}, false
	}
	return wigeonshift.Write{Key: RowKey(c), Value: value}, true
}

// randomDelay returns a delay below a maximum.
func randomDelay(longest time.Duration) time.Duration {
	return rand.N(longest) //nolint:gosec // The jitter needs no cryptographic randomness.
}
