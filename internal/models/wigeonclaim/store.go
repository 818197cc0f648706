// Package wigeonclaim keeps the claims of non-idempotent requests in the platform's table, so that each runs at most
// once whatever dies in between.
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

// ErrKeyReused reports an idempotency key that was used before for a request with another content. It comes together
// with wigeonshift.ErrAlreadyClaimed.
var ErrKeyReused = errors.New("idempotency key used for another request")

// Defaults and bounds of a store.
const (
	DefaultLinger       = 2 * time.Millisecond
	DefaultLanes        = 2
	DefaultBatchTimeout = 5 * time.Second
	DefaultMaxRowBody   = 32 << 10
	DefaultSweepPeriod  = 5 * time.Second
	// MaxKeyBytes bounds a claim's key.
	MaxKeyBytes = 1024
	// maxBatch keeps a transaction below the platform's limit.
	maxBatch  = 64
	queueSize = 4096
	// maxRounds bounds the races that one claim may lose.
	maxRounds      = 5
	knownRevisions = 16 << 10
	// expiryGrace keeps a claim beyond its expiry, so that instances whose clocks differ agree that it is over.
	expiryGrace = time.Minute
)

// Prefixes of the rows.
const (
	rowPrefix   = "claim/"
	indexPrefix = "claimexpiry/"
)

// Store implements wigeonshift.ClaimStore over the platform's table.
type Store struct {
	table       wigeonshift.Table
	objects     wigeonshift.ObjectStore
	linger      time.Duration
	lanes       int
	timeout     time.Duration
	maxRowBody  int
	sweepPeriod time.Duration
	sweeps      func() bool
	log         logrus.FieldLogger
	scope       tally.Scope

	queue chan *operation
	// revisions holds the row revisions of own claims, which spares a read when they are settled.
	revisions *lru.Cache[wigeonshift.AttemptToken, uint64]
	cancel    context.CancelFunc
	wg        conc.WaitGroup
}

// Option changes a store at construction.
type Option func(*Store)

// WithLinger sets how long a batch waits for more writes. It bounds the latency that batching adds.
func WithLinger(d time.Duration) Option {
	return func(s *Store) { s.linger = d }
}

// WithLanes sets the number of batches in flight at once.
func WithLanes(n int) Option {
	return func(s *Store) { s.lanes = n }
}

// WithBatchTimeout bounds the time in which a batch is written and an unknown outcome settled.
func WithBatchTimeout(d time.Duration) Option {
	return func(s *Store) { s.timeout = d }
}

// WithMaxRowBody sets the size up to which an outcome's body stands in the row; larger ones go to the object store.
func WithMaxRowBody(n int) Option {
	return func(s *Store) { s.maxRowBody = n }
}

// WithSweeper lets this instance remove expired claims while a function says so. Without it nothing is removed.
func WithSweeper(sweeps func() bool, period time.Duration) Option {
	return func(s *Store) { s.sweeps, s.sweepPeriod = sweeps, period }
}

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Store) { s.log = l }
}

// WithScope sets the metrics.
func WithScope(sc tally.Scope) Option {
	return func(s *Store) { s.scope = sc }
}

// New returns a store over the platform's table and object store.
func New(table wigeonshift.Table, objects wigeonshift.ObjectStore, opts ...Option) *Store {
	s := &Store{
		table: table, objects: objects, linger: DefaultLinger, lanes: DefaultLanes, timeout: DefaultBatchTimeout,
		maxRowBody: DefaultMaxRowBody, sweepPeriod: DefaultSweepPeriod, log: logrus.StandardLogger(),
		scope: tally.NoopScope, queue: make(chan *operation, queueSize),
	}
	for _, o := range opts {
		o(s)
	}
	// New fails only for a size below 1.
	s.revisions, _ = lru.New[wigeonshift.AttemptToken, uint64](knownRevisions)
	return s
}

// Start begins to write batches and to sweep.
func (s *Store) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for range s.lanes {
		l := &lane{store: s}
		s.wg.Go(func() { l.run(ctx) })
	}
	if s.sweeps != nil {
		w := &sweeper{store: s}
		s.wg.Go(func() { w.run(ctx) })
	}
	return nil
}

// Stop ends the service. Writes still queued are refused.
func (s *Store) Stop(_ context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Claim records a claim before dispatch.
func (s *Store) Claim(ctx context.Context, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	if c.Key == "" || len(c.Key) > MaxKeyBytes {
		return wigeonshift.Claim{}, oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, errKey))
	}
	value, err := encodeRow(row{Claim: c})
	if err != nil {
		return wigeonshift.Claim{}, err
	}
	revision := uint64(0)
	for range maxRounds {
		o := &operation{key: rowPrefix + c.Key, revision: revision, value: value, index: indexKey(c.Expires, c.Key)}
		result := s.write(ctx, o)
		if result.err == nil {
			s.revisions.Add(c.Token, result.revision)
			s.count("claimWritten", "")
			return wigeonshift.Claim{}, nil
		}
		if !errors.Is(result.err, wigeonshift.ErrConditionFailed) {
			return wigeonshift.Claim{}, s.refused(result.err)
		}
		existing, free, err := s.standing(ctx, result.current)
		if err != nil {
			return wigeonshift.Claim{}, s.refused(err)
		}
		if !free {
			return existing, s.taken(existing, c)
		}
		revision = result.current.Revision
	}
	return wigeonshift.Claim{}, s.refused(oops.In("claim").Wrap(wigeonshift.ErrThrottled))
}

var errKey = fmt.Errorf("key must have 1 to %d bytes", MaxKeyBytes)

// standing reads the row that a claim met. It is free when there is none any more, when it was released, and when it
// has expired.
func (s *Store) standing(ctx context.Context, current wigeonshift.Row) (existing wigeonshift.Claim, free bool, err error) {
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
	return s.withBody(ctx, r)
}

// taken returns the error for a key that another attempt holds.
func (s *Store) taken(existing, c wigeonshift.Claim) error {
	if existing.Fingerprint != c.Fingerprint {
		s.count("claimRefused", "keyReused")
		return oops.In("claim").Wrap(errors.Join(wigeonshift.ErrAlreadyClaimed, ErrKeyReused))
	}
	s.count("claimRefused", string(existing.State))
	return oops.In("claim").Wrap(wigeonshift.ErrAlreadyClaimed)
}

// refused counts a claim that was not written, or whose outcome is unknown.
func (s *Store) refused(err error) error {
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
