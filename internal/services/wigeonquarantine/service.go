package wigeonquarantine

import (
	"context"
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
	// maxFleetFirstCrashes bounds the first crashes that all instances together share in each shareDelay. When many
	// endpoints crash at once, hardly any request is the cause, and all instances would have to read all rows.
	maxFleetFirstCrashes = 4500
	// maxRewriteDelay and maxExpiryDelay bound the random delays before an instance writes a row again that the store has
	// lost, and before it removes the row of an expired crash. Usually another instance is first, and the rest need not
	// write.
	maxRewriteDelay = 1500 * time.Millisecond
	maxExpiryDelay  = 10 * time.Minute
	// maxUnstored bounds the crashes, and the answers, that Unstored returns.
	maxUnstored = 4
)

// Service shares crashes with the other instances through a table of the store. It implements wigeonshift.CrashRecorder.
// The table has one row for each crash of each request, so that instances never overwrite each other's rows.
type Service struct {
	writer *Writer
	log    logrus.FieldLogger
	scope  tally.Scope
	// publish receives all that is known after each change.
	publish func(evidence wigeonshift.CrashEvidence)
	// changed holds a pending request to publish the crashes.
	changed chan struct{}
	cancel  context.CancelFunc
	tasks   conc.WaitGroup

	mu     sync.Mutex
	record *Record
	// states holds the state of the row of each crash, by row key.
	states map[string]rowState
	// unstoredAnswers holds the features whose answers this instance shares and the store has not shown yet.
	unstoredAnswers map[wigeonshift.Fingerprint]bool
	// restored is set if the next listing comes from an older copy of the store.
	restored bool
	// deferred holds writes that other instances may do first, by row key.
	deferred map[string]deferredWrite
	// dueShares holds first crashes of requests that will be shared, by row key.
	dueShares map[string]dueShare
	// instances is the number of instances, this one included.
	instances int
	// firstCrashes counts the first crashes of requests since firstCrashesSince.
	firstCrashes      int
	firstCrashesSince time.Time
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

var _ wigeonshift.CrashRecorder = (*Service)(nil)

// NewService returns a service that writes rows with commit and passes all that is known to publish.
func NewService(
	commit CommitFunc, publish func(wigeonshift.CrashEvidence), log logrus.FieldLogger, scope tally.Scope,
) *Service {
	return &Service{
		writer: NewWriter(commit, log, func() { scope.Counter("quarantineWritesFailed").Inc(1) }),
		log:    log, scope: scope, publish: publish, changed: make(chan struct{}, 1),
		record: NewRecord(Limit), states: map[string]rowState{}, deferred: map[string]deferredWrite{},
		dueShares: map[string]dueShare{}, unstoredAnswers: map[wigeonshift.Fingerprint]bool{}, instances: 1,
	}
}

// SetInstanceCount sets the number of instances, this one included.
func (s *Service) SetInstanceCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(n, 1)
}

// Start writes and publishes changes until Stop.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.writer.Run(ctx) })
	s.tasks.Go(func() { s.run(ctx) })
}

// Stop writes what is pending and ends the work. First crashes are shared now, as nobody else knows of them.
func (s *Service) Stop() {
	s.mu.Lock()
	for _, d := range s.dueShares {
		s.shareLocked(d.crash)
	}
	s.mu.Unlock()
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
			s.publish(s.Evidence())
		case <-ticker.C:
			s.sweep(time.Now())
		}
	}
}

// learnLocked adds a crash that another writer noticed and reports whether it is new. A time ahead of this instance's clock counts as now,
// so that it doesn't keep the request refused for longer than any other crash.
func (s *Service) learnLocked(c wigeonshift.Crash) bool {
	if now := time.Now(); c.At.After(now) {
		c.At = now
	}
	return s.record.Add(c)
}

// Evidence returns all that is known.
func (s *Service) Evidence() wigeonshift.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wigeonshift.CrashEvidence{Crashes: s.record.All(), Answers: s.record.Answers()}
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

// forgetLocked forgets the state of a row.
func (s *Service) forgetLocked(key string) {
	delete(s.states, key)
	delete(s.dueShares, key)
}

func (s *Service) requestPublish() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
