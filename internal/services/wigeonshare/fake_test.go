package wigeonshare_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
)

// fakeStore keeps the rows of one table with their history, and may fail.
type fakeStore struct {
	mu        sync.Mutex
	random    *rand.Rand
	startedAt time.Time
	era       uint64
	revision  uint64
	row       wigeonshift.TableRow
	history   []storedRow
	// latency is the longest time of a call in each direction.
	latency time.Duration
	// lossShare is the share of calls whose answer is lost. lateShare is the share of those that are applied seconds later.
	lossShare, lateShare float64
	downUntil            time.Time
	calls                int
	// beforeCommit is called with each row value that is about to be written; nil if nobody needs to know.
	beforeCommit func(value []byte)
}

// storedRow is a version of the row.
type storedRow struct {
	row wigeonshift.TableRow
	at  time.Time
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, 2)), startedAt: time.Now(), latency: 5 * time.Millisecond}
}

func (s *fakeStore) randomDelay(longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(longest) + 1))
}

func (s *fakeStore) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// restore returns the store to its state some time ago. Revisions are given out again.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for len(s.history) > 0 && time.Since(s.history[len(s.history)-1].at) < age {
		s.history = s.history[:len(s.history)-1]
	}
	s.row, s.revision = wigeonshift.TableRow{}, 0
	if n := len(s.history); n > 0 {
		s.row = s.history[n-1].row
		s.revision = s.row.Revision
	}
}

func (s *fakeStore) list() (wigeonshift.TablePage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if time.Now().Before(s.downUntil) {
		return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
	}
	page := wigeonshift.TablePage{Revision: s.revision, Era: s.era, NowMillis: time.Since(s.startedAt).Milliseconds() + 1}
	if s.row.Revision > 0 {
		page.Rows = []wigeonshift.TableRow{s.row}
	}
	return page, nil
}

func (s *fakeStore) commit(tx wigeonshift.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if time.Now().Before(s.downUntil) {
		return 0, wigeonshift.ErrUnavailable
	}
	if tx.Conditions[0].Revision != s.row.Revision {
		return 0, wigeonshift.ErrConditionFailed
	}
	if s.beforeCommit != nil {
		s.beforeCommit(tx.Writes[0].Value)
	}
	s.revision++
	s.row = wigeonshift.TableRow{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: s.revision}
	s.history = append(s.history, storedRow{row: s.row, at: time.Now()})
	return s.era, nil
}

var errLost = errors.New("answer lost")

// machineStore is the store as one process reaches it.
type machineStore struct {
	machine *machine
	process *process
	store   *fakeStore
}

// travel waits for a message to pass, and fails if the process has ended or is cut off.
func (s *machineStore) travel(ctx context.Context) error {
	s.store.mu.Lock()
	latency := s.store.latency
	s.store.mu.Unlock()
	wigeonclock.Sleep(ctx, s.store.randomDelay(latency))
	// A frozen process neither sends nor reads.
	wigeonclock.Sleep(context.WithoutCancel(ctx), time.Until(s.machine.frozenUntil))
	s.process.mu.Lock()
	dead := s.process.dead
	s.process.mu.Unlock()
	if dead || time.Now().Before(s.machine.cutUntil) {
		return errors.Join(wigeonshift.ErrOutcomeUnknown, errLost)
	}
	return ctx.Err()
}

func (s *machineStore) List(ctx context.Context, _ wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	if err := s.travel(ctx); err != nil {
		return wigeonshift.TablePage{}, err
	}
	page, err := s.store.list()
	if err != nil {
		return page, err
	}
	return page, s.travel(ctx)
}

func (s *machineStore) Commit(ctx context.Context, _ wigeonshift.RoutingTable, tx wigeonshift.Transaction) (uint64, error) {
	if err := s.travel(ctx); err != nil {
		return 0, err
	}
	if s.store.draw() < s.store.lossShare {
		if s.store.draw() < s.store.lateShare {
			time.AfterFunc(s.store.randomDelay(4*time.Second), func() { _, _ = s.store.commit(tx) })
		} else {
			_, _ = s.store.commit(tx)
		}
		return 0, errors.Join(wigeonshift.ErrOutcomeUnknown, errLost)
	}
	era, err := s.store.commit(tx)
	if err != nil {
		return 0, err
	}
	return era, s.travel(ctx)
}
