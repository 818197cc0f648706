package wigeonquarantine

import (
	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// HandleStoreRestored is called before ReplaceRows if the store has returned from an older copy.
func (s *Service) HandleStoreRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// ReplaceRows replaces what the store has shown by a listing. Crashes whose rows are gone were removed by another
// instance, unless the store has lost them by its return from an older copy; then they are written again. Crashes that
// the store has not shown yet stay.
func (s *Service) ReplaceRows(rows []wigeonshift.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
	}
	s.replaceAnswersLocked(listed)
	for _, c := range s.record.All() {
		key := RowKey(c)
		switch {
		case listed[key]:
		case s.states[key] == rowUnstored:
			s.writeLocked(c)
		case s.states[key] == rowStored && s.restored:
			s.deferWriteLocked(c)
		case s.states[key] == rowStored:
			s.removeLocked(key)
		}
	}
	s.restored = false
	s.applyLocked(rows)
}

// replaceAnswersLocked forgets the answers whose rows are gone, and writes those again that the store has lost or never shown.
func (s *Service) replaceAnswersLocked(listed map[string]bool) {
	for _, a := range s.record.Answers() {
		switch {
		case listed[AnswerKey(a.Feature)]:
		case s.restored || s.unstoredAnswers[a.Feature]:
			s.writeAnswerLocked(a)
		default:
			s.record.RemoveAnswer(a.Feature)
		}
	}
}

// ApplyChanges applies changed and removed rows.
func (s *Service) ApplyChanges(rows []wigeonshift.TableRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(rows)
}

func (s *Service) applyLocked(rows []wigeonshift.TableRow) {
	for _, row := range rows {
		delete(s.deferred, row.Key)
		delete(s.dueShares, row.Key)
		if feature, isAnswer := DecodeAnswerKey(row.Key); isAnswer {
			s.applyAnswerLocked(feature, row)
			continue
		}
		if row.Deleted {
			s.removeLocked(row.Key)
			continue
		}
		c, err := DecodeRow(row.Key, row.Value)
		if err != nil {
			s.deferRemovalLocked(row.Key)
			s.scope.Counter("quarantineRowsMalformed").Inc(1)
			s.log.WithError(err).WithField("row", row.Key).Warn("failed to decode a crash row")
			continue
		}
		if s.learnLocked(c) {
			s.shareAllLocked(s.record.Related(c))
			s.logLearned(c, "store")
		}
		if !s.record.Has(c) {
			s.deferRemovalLocked(row.Key)
			continue
		}
		s.states[row.Key] = rowStored
	}
	s.shareRelatedLocked()
	s.requestPublish()
}

// applyAnswerLocked applies the changed or removed row of an answer.
func (s *Service) applyAnswerLocked(feature wigeonshift.Fingerprint, row wigeonshift.TableRow) {
	delete(s.unstoredAnswers, feature)
	if row.Deleted {
		s.record.RemoveAnswer(feature)
		return
	}
	a, err := DecodeAnswer(feature, row.Value)
	if err != nil {
		s.deferRemovalLocked(row.Key)
		s.scope.Counter("quarantineRowsMalformed").Inc(1)
		s.log.WithError(err).WithField("row", row.Key).Warn("failed to decode an answer row")
		return
	}
	s.record.AddAnswer(a)
}

// removeLocked forgets the crash of a row that the store no longer has.
func (s *Service) removeLocked(key string) {
	if f, endpoint, err := DecodeKey(key); err == nil {
		s.record.RemoveCrash(f, endpoint)
	}
	s.forgetLocked(key)
	s.requestPublish()
}

func (s *Service) logLearned(c wigeonshift.Crash, source string) {
	s.log.WithFields(logrus.Fields{
		"fingerprint": c.Fingerprint.String(), "content": c.Shared.Content.String(), "endpoint": c.Endpoint, "crashes": len(s.record.Crashes(c.Fingerprint)),
		"features":    FingerprintTexts(c.Features),
		"quarantined": s.record.Quarantined(c.Fingerprint), "source": source,
	}).Info("crash learned")
}
