// Package wigeonclaim stores the claims of non-idempotent requests in the platform's table, so that each request runs
// at most once even if an instance crashes.
package wigeonclaim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ErrKeyReused reports an idempotency key that was used before for a request with different content. It is joined with
// wigeonshift.ErrAlreadyClaimed.
var ErrKeyReused = errors.New("idempotency key used for another request")

// Defaults and limits of a store.
const (
	DefaultBatchDelay      = 2 * time.Millisecond
	DefaultBatchWriters    = 2
	DefaultBatchTimeout    = 5 * time.Second
	DefaultMaxRowBodyBytes = 32 << 10
	DefaultSweepPeriod     = 5 * time.Second
	// MaxKeyBytes is the maximum length of a claim key.
	MaxKeyBytes = 1024
	// maxBatchSize is the number of claims in a batch; it keeps a transaction below the platform's limit.
	maxBatchSize = 64
	queueSize    = 4096
	// maxWriteAttempts limits the attempts to write one claim when other writes conflict with it.
	maxWriteAttempts  = 5
	revisionCacheSize = 16 << 10
	// expiryGrace is how long a claim is kept after its expiry, so that instances with different clocks agree that it
	// has expired.
	expiryGrace = time.Minute
)

// Key prefixes of claim rows and of expiry index entries.
const (
	claimPrefix       = "claim/"
	expiryIndexPrefix = "claimexpiry/"
)

// Store implements wigeonshift.ClaimStore over the platform's table.
type Store struct {
	table           wigeonshift.Table
	objects         wigeonshift.ObjectStore
	batchDelay      time.Duration
	batchWriters    int
	batchTimeout    time.Duration
	maxRowBodyBytes int
	sweepPeriod     time.Duration
	shouldSweep     func() bool
	log             logrus.FieldLogger
	scope           tally.Scope

	queue chan *conditionalWrite
	// revisions caches the row revisions of claims written here, which saves a read when they are settled.
	revisions *lru.Cache[wigeonshift.AttemptToken, uint64]
	cancel    context.CancelFunc
	wg        conc.WaitGroup
}

// Option configures a Store.
type Option func(*Store)

// WithBatchDelay sets how long a batch waits for more writes. It limits the latency that batching adds.
func WithBatchDelay(d time.Duration) Option {
	return func(s *Store) { s.batchDelay = d }
}

// WithBatchWriters sets the number of concurrent batch writers, and so of batches in flight.
func WithBatchWriters(n int) Option {
	return func(s *Store) { s.batchWriters = n }
}

// WithBatchTimeout sets the deadline for writing a batch, including the resolution of an unknown outcome.
func WithBatchTimeout(d time.Duration) Option {
	return func(s *Store) { s.batchTimeout = d }
}

// WithMaxRowBodyBytes sets the largest response body that is stored in the row; larger ones go to the object store.
func WithMaxRowBodyBytes(n int) Option {
	return func(s *Store) { s.maxRowBodyBytes = n }
}

// WithSweeper lets this instance remove expired claims once per period while shouldSweep returns true. Without this
// option expired claims are not removed.
func WithSweeper(shouldSweep func() bool, period time.Duration) Option {
	return func(s *Store) { s.shouldSweep, s.sweepPeriod = shouldSweep, period }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Store) { s.log = l }
}

// WithScope sets the metrics scope.
func WithScope(sc tally.Scope) Option {
	return func(s *Store) { s.scope = sc }
}

// New returns a store over the platform's table and object store.
func New(table wigeonshift.Table, objects wigeonshift.ObjectStore, opts ...Option) *Store {
	s := &Store{
		table: table, objects: objects, batchDelay: DefaultBatchDelay, batchWriters: DefaultBatchWriters,
		batchTimeout: DefaultBatchTimeout, maxRowBodyBytes: DefaultMaxRowBodyBytes, sweepPeriod: DefaultSweepPeriod,
		log: logrus.StandardLogger(), scope: tally.NoopScope, queue: make(chan *conditionalWrite, queueSize),
	}
	for _, o := range opts {
		o(s)
	}
	// lru.New fails only for a size below 1.
	s.revisions, _ = lru.New[wigeonshift.AttemptToken, uint64](revisionCacheSize)
	return s
}

// Start starts the batch writers and the sweeper.
func (s *Store) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for range s.batchWriters {
		b := &batchWriter{store: s}
		s.wg.Go(func() { b.run(ctx) })
	}
	if s.shouldSweep != nil {
		w := &sweeper{store: s}
		s.wg.Go(func() { w.run(ctx) })
	}
	return nil
}

// Stop stops the batch writers and the sweeper. Writes in a batch that was not sent yet fail with ErrUnavailable; writes
// that are still queued fail with it when their context ends.
func (s *Store) Stop(_ context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Claim records a claim before the request is dispatched. If the key is held by another attempt, it returns that claim
// and an error that wraps ErrAlreadyClaimed.
func (s *Store) Claim(ctx context.Context, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes {
		return wigeonshift.Claim{}, oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, errKeyLength))
	}
	value, err := encodeRow(row{Claim: c})
	if err != nil {
		return wigeonshift.Claim{}, err
	}
	revision := uint64(0)
	for range maxWriteAttempts {
		o := &conditionalWrite{key: claimPrefix + c.Key, revision: revision, value: value, indexKey: expiryIndexKey(c.Expires, c.Key)}
		result := s.write(ctx, o)
		if result.err == nil {
			s.revisions.Add(c.Token, result.revision)
			s.count("claimWritten", "")
			return wigeonshift.Claim{}, nil
		}
		if !errors.Is(result.err, wigeonshift.ErrConditionFailed) {
			return wigeonshift.Claim{}, s.countRefusal(result.err)
		}
		existing, free, err := s.evaluateConflict(ctx, result.current)
		if err != nil {
			return wigeonshift.Claim{}, s.countRefusal(err)
		}
		if !free {
			return existing, s.alreadyClaimedError(existing, c)
		}
		revision = result.current.Revision
	}
	return wigeonshift.Claim{}, s.countRefusal(oops.In("claim").Wrap(wigeonshift.ErrThrottled))
}

var errKeyLength = fmt.Errorf("claim key must have 1 to %d bytes", MaxKeyBytes)

// evaluateConflict returns the existing claim of a row that conflicted with a new claim. The key is free if the row no
// longer exists, was released or has expired.
func (s *Store) evaluateConflict(ctx context.Context, current wigeonshift.Row) (existing wigeonshift.Claim, free bool, err error) {
	if current.Revision == 0 {
		return wigeonshift.Claim{}, true, nil
	}
	r, err := decodeRow(current)
	if err != nil {
		return wigeonshift.Claim{}, false, err
	}
	if r.State == wigeonshift.ClaimReleased || time.Now().After(r.Expires.Add(expiryGrace)) {
		return wigeonshift.Claim{}, true, nil
	}
	return s.loadBody(ctx, r)
}

// alreadyClaimedError counts and returns the error for a key that another attempt holds.
func (s *Store) alreadyClaimedError(existing, c wigeonshift.Claim) error {
	if existing.Fingerprint != c.Fingerprint {
		s.count("claimRefused", "keyReused")
		return oops.In("claim").Wrap(errors.Join(wigeonshift.ErrAlreadyClaimed, ErrKeyReused))
	}
	s.count("claimRefused", string(existing.State))
	return oops.In("claim").Wrap(wigeonshift.ErrAlreadyClaimed)
}

// countRefusal counts a claim that was not written or whose outcome is unknown, and returns err.
func (s *Store) countRefusal(err error) error {
	switch {
	case errors.Is(err, wigeonshift.ErrOutcomeUnknown):
		s.count("claimRefused", "outcomeUnknown")
	case errors.Is(err, wigeonshift.ErrThrottled):
		s.count("claimRefused", "throttled")
	default:
		s.count("claimRefused", "storeUnavailable")
	}
	return err
}

func (s *Store) count(name, reason string) {
	scope := s.scope
	if reason != "" {
		scope = scope.Tagged(map[string]string{"reason": reason})
	}
	scope.Counter(name).Inc(1)
}
