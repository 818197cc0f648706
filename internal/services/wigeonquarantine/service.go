package wigeonquarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Limit is the number of crashes from which instances that share a table refuse a request.
const Limit = 3

const (
	// sweepInterval is the interval between checks for expired crashes and due writes.
	sweepInterval = 500 * time.Millisecond
	// shareDelay is the delay before the first crash of a request is shared. Most requests that were there at a crash run to
	// their end elsewhere within this time, and then nobody needs to know of it.
	shareDelay = time.Second
	// maxFirstCrashes bounds the first crashes that an instance shares in each shareDelay. When many endpoints crash at
	// once, hardly any request is the cause, and all instances would have to read all rows.
	maxFirstCrashes = 5
	// maxRewriteDelay and maxExpiryDelay bound the random delays before an instance writes a row again that the store has
	// lost, and before it removes the row of an expired crash. Usually another instance is first, and the rest need not
	// write.
	maxRewriteDelay = 1500 * time.Millisecond
	maxExpiryDelay  = 10 * time.Minute
	// maxUnstored bounds the crashes that Unstored returns.
	maxUnstored = 8
)

// Service shares crashes with the other instances through a table of the store. It implements wigeonshift.CrashRecorder.
// The table has one row for each crash of each request, so that instances never overwrite each other's rows.
type Service struct {
	writer *Writer
	log    logrus.FieldLogger
	scope  tally.Scope
	// publish receives all known crashes after each change.
	publish func(crashes []wigeonshift.Crash)
	// changed holds a pending request to publish the crashes.
	changed chan struct{}
	cancel  context.CancelFunc
	tasks   conc.WaitGroup

	mu     sync.Mutex
	record *Record
	// states holds the state of the row of each crash, by row key.
	states map[string]rowState
	// restored is set if the next listing comes from an older copy of the store.
	restored bool
	// deferred holds writes that other instances may do first, by row key.
	deferred map[string]deferredWrite
	// dueShares holds first crashes of requests that will be shared, by row key.
	dueShares map[string]dueShare
	// firstCrashes counts the first crashes of requests since firstCrashesSince.
	firstCrashes      int
	firstCrashesSince time.Time
}

// dueShare is a crash that will be shared at a time.
type dueShare struct {
	at    time.Time
	crash wigeonshift.Crash
}

// rowState tells whether the store has the row of a crash.
type rowState int

const (
	// rowFromPeer means that another instance writes the row.
	rowFromPeer rowState = iota
	// rowLocal means that this instance noticed the crash and does not share it yet.
	rowLocal
	// rowUnstored means that this instance shares the crash and the store has not shown the row yet.
	rowUnstored
	// rowStored means that the store has shown the row.
	rowStored
)

// deferredWrite is a write that is done at a time unless the store shows its effect before.
type deferredWrite struct {
	at     time.Time
	change wigeonshift.Write
}

var _ wigeonshift.CrashRecorder = (*Service)(nil)

// NewService returns a service that writes rows with commit and passes all known crashes to publish.
func NewService(
	commit CommitFunc, publish func([]wigeonshift.Crash), log logrus.FieldLogger, scope tally.Scope,
) *Service {
	return &Service{
		writer: NewWriter(commit, log, func() { scope.Counter("quarantineWritesFailed").Inc(1) }),
		log:    log, scope: scope, publish: publish, changed: make(chan struct{}, 1),
		record: NewRecord(Limit), states: map[string]rowState{}, deferred: map[string]deferredWrite{},
		dueShares: map[string]dueShare{},
	}
}

// Start writes and publishes changes until Stop.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.writer.Run(ctx) })
	s.tasks.Go(func() { s.run(ctx) })
}

// Stop writes what is pending and ends the work.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
}

// run publishes changes and does deferred writes.
func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.publish(s.Crashes())
		case <-ticker.C:
			s.sweep(time.Now())
		}
	}
}

// Crashes returns all known crashes.
func (s *Service) Crashes() []wigeonshift.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.All()
}

// ReportCrash adds a crash that this instance noticed. It shares the first crash of a request after shareDelay, unless the
// request is cleared until then, and all crashes of a request at once from the second on.
func (s *Service) ReportCrash(c wigeonshift.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.record.Add(c) {
		return
	}
	s.states[RowKey(c)] = rowLocal
	known := s.record.Crashes(c.Fingerprint)
	if len(known) == 1 {
		s.deferShareLocked(c)
		return
	}
	for _, k := range known {
		if s.states[RowKey(k)] == rowLocal {
			s.shareLocked(k)
		}
	}
	s.requestPublish()
}

// deferShareLocked shares the first crash of a request later. Beyond maxFirstCrashes the crash stays with this instance.
func (s *Service) deferShareLocked(c wigeonshift.Crash) {
	now := time.Now()
	if now.Sub(s.firstCrashesSince) > shareDelay {
		s.firstCrashesSince, s.firstCrashes = now, 0
	}
	s.firstCrashes++
	if s.firstCrashes > maxFirstCrashes {
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

// ClearCrashes removes all crashes of a request and their rows.
func (s *Service) ClearCrashes(f wigeonshift.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.record.Crashes(f) {
		key := RowKey(c)
		if s.states[key] != rowLocal {
			s.writer.Add(wigeonshift.Write{Key: key, Delete: true})
		}
		s.forgetLocked(key)
	}
	s.record.Remove(f)
	s.requestPublish()
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
			s.logLearned(c, "peer")
			s.requestPublish()
		}
	}
}

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
		if s.record.Add(c) {
			s.logLearned(c, "store")
		}
		if !s.record.Has(c) {
			s.deferRemovalLocked(row.Key)
			continue
		}
		s.states[row.Key] = rowStored
	}
	s.requestPublish()
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

// removeLocked forgets the crash of a row that the store no longer has.
func (s *Service) removeLocked(key string) {
	if f, endpoint, err := DecodeKey(key); err == nil {
		s.record.RemoveCrash(f, endpoint)
	}
	s.forgetLocked(key)
	s.requestPublish()
}

// forgetLocked forgets the state of a row.
func (s *Service) forgetLocked(key string) {
	delete(s.states, key)
	delete(s.dueShares, key)
}

func (s *Service) logLearned(c wigeonshift.Crash, source string) {
	s.log.WithFields(logrus.Fields{
		"fingerprint": c.Fingerprint.String(), "endpoint": c.Endpoint, "crashes": len(s.record.Crashes(c.Fingerprint)),
		"quarantined": s.record.Quarantined(c.Fingerprint), "source": source,
	}).Info("crash learned")
}

func (s *Service) requestPublish() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// randomDelay returns a delay below a maximum.
func randomDelay(longest time.Duration) time.Duration {
	return rand.N(longest) //nolint:gosec // The jitter needs no cryptographic randomness.
}
