package wigeonquarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
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
// the same content or another common feature counts as well, because a caller may change the rest.
func (s *Service) ReportCrash(c wigeonshift.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.record.Add(c) {
		return
	}
	s.states[RowKey(c)] = rowLocal
	related := s.record.Related(c)
	if len(related) == 1 && !s.record.SharesFeature(c) {
		s.deferShareLocked(c)
		return
	}
	s.shareAllLocked(related)
	s.shareRelatedLocked()
	s.requestPublish()
}

// shareRelatedLocked shares the first crashes that wait for their time and have a feature in common with those of other endpoints.
func (s *Service) shareRelatedLocked() {
	for _, d := range s.dueShares {
		if s.record.SharesFeature(d.crash) {
			s.shareLocked(d.crash)
		}
	}
}

// ReportAnswer adds an answer that this instance received and shares it.
func (s *Service) ReportAnswer(a wigeonshift.FeatureAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.record.AddAnswer(a) {
		return
	}
	s.unstoredAnswers[a.Feature] = true
	s.writeAnswerLocked(a)
	s.requestPublish()
}

// writeAnswerLocked writes the row of an answer.
func (s *Service) writeAnswerLocked(a wigeonshift.FeatureAnswer) {
	value, err := EncodeAnswer(a)
	if err != nil {
		s.log.WithError(err).WithField("row", AnswerKey(a.Feature)).Error("failed to encode an answer row")
		return
	}
	s.writer.Add(wigeonshift.Write{Key: AnswerKey(a.Feature), Value: value})
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

// Unstored returns crashes and answers that this instance shares and that the store has not shown yet: first the crashes under what was
// at most others, and the latest of these. The caller sends them to other instances, so that these learn of them also while the store is
// down.
func (s *Service) Unstored() wigeonshift.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unstored wigeonshift.CrashEvidence
	for _, c := range s.record.All() {
		if s.states[RowKey(c)] == rowUnstored {
			unstored.Crashes = append(unstored.Crashes, c)
		}
	}
	slices.SortStableFunc(unstored.Crashes, func(a, b wigeonshift.Crash) int {
		return cmp.Or(cmp.Compare(s.record.heaviestEvidence(b), s.record.heaviestEvidence(a)), b.At.Compare(a.At))
	})
	for _, a := range s.record.Answers() {
		if s.unstoredAnswers[a.Feature] {
			unstored.Answers = append(unstored.Answers, a)
		}
	}
	slices.SortStableFunc(unstored.Answers, func(a, b wigeonshift.FeatureAnswer) int { return b.At.Compare(a.At) })
	unstored.Crashes = unstored.Crashes[:min(len(unstored.Crashes), maxUnstored)]
	unstored.Answers = unstored.Answers[:min(len(unstored.Answers), maxUnstored)]
	return unstored
}

// Offer adds crashes and answers that another instance has sent.
func (s *Service) Offer(evidence wigeonshift.CrashEvidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range evidence.Crashes {
		if s.learnLocked(c) {
			s.states[RowKey(c)] = rowFromPeer
			s.shareAllLocked(s.record.Related(c))
			s.logLearned(c, "peer")
			s.requestPublish()
		}
	}
	for _, a := range evidence.Answers {
		if s.record.AddAnswer(a) {
			s.requestPublish()
		}
	}
	s.shareRelatedLocked()
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
	for _, feature := range s.record.ExpireAnswers(now) {
		delete(s.unstoredAnswers, feature)
		s.deferRemovalLocked(AnswerKey(feature))
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
