package wigeonstore

import (
	"context"
	"errors"
	"time"

	"wigeonshift"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
	"github.com/sony/gobreaker/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Defaults of a guard.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultObjectTimeout   = 10 * time.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 20
	DefaultBurst           = 40
	DefaultTries           = 3
	DefaultBreakerFailures = 5
	DefaultBreakerPause    = 2 * time.Second
	firstBackoff           = 50 * time.Millisecond
	maxBackoff             = time.Second
)

// Guard gives the calls of a platform deadlines, budgets, circuit breakers and retries. A write is repeated only
// with proof that it had no effect.
type Guard struct {
	backend       wigeonshift.Platform
	timeout       time.Duration
	objectTimeout time.Duration
	tries         uint
	reads         *rate.Limiter
	writes        *rate.Limiter
	failures      uint32
	pause         time.Duration
	scope         tally.Scope
	table         *service
	objects       *service
	list          *service
	weights       *service
}

// service is one of the platform's services, as a guard sees it.
type service struct {
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	// timeout bounds one try of a call.
	timeout time.Duration
}

// Option changes a guard at construction.
type Option func(*Guard)

// WithCallTimeout bounds each try of a call, those of the object store excepted.
func WithCallTimeout(d time.Duration) Option {
	return func(g *Guard) { g.timeout = d }
}

// WithObjectTimeout bounds each try of a call of the object store, whose objects may be large.
func WithObjectTimeout(d time.Duration) Option {
	return func(g *Guard) { g.objectTimeout = d }
}

// WithBudget bounds this instance's reads and writes a second.
func WithBudget(reads, writes float64, burst int) Option {
	return func(g *Guard) {
		g.reads = rate.NewLimiter(rate.Limit(reads), burst)
		g.writes = rate.NewLimiter(rate.Limit(writes), burst)
	}
}

// WithTries bounds the tries of one call.
func WithTries(n uint) Option {
	return func(g *Guard) { g.tries = n }
}

// WithBreaker opens a circuit after failures in a row and tries again after a pause.
func WithBreaker(failures uint32, pause time.Duration) Option {
	return func(g *Guard) { g.failures, g.pause = failures, pause }
}

// WithScope sets the metrics.
func WithScope(s tally.Scope) Option {
	return func(g *Guard) { g.scope = s }
}

// New returns a guard around a platform.
func New(backend wigeonshift.Platform, opts ...Option) *Guard {
	g := &Guard{
		backend:       backend,
		timeout:       DefaultCallTimeout,
		objectTimeout: DefaultObjectTimeout,
		tries:         DefaultTries,
		reads:         rate.NewLimiter(DefaultReadsPerSecond, DefaultBurst),
		writes:        rate.NewLimiter(DefaultWritesPerSecond, DefaultBurst),
		failures:      DefaultBreakerFailures,
		pause:         DefaultBreakerPause,
		scope:         tally.NoopScope,
	}
	for _, o := range opts {
		o(g)
	}
	g.table = g.service("table", g.timeout)
	g.objects = g.service("objects", g.objectTimeout)
	g.list = g.service("instances", g.timeout)
	g.weights = g.service("weights", g.timeout)
	return g
}

func (g *Guard) service(name string, timeout time.Duration) *service {
	breaker := gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name:         name,
		Timeout:      g.pause,
		ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= g.failures },
		IsSuccessful: func(err error) bool { return !isFailure(err) },
		IsExcluded:   func(err error) bool { return errors.Is(err, errCancelled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			g.scope.Tagged(map[string]string{"service": name, "state": to.String()}).Counter("storeBreaker").Inc(1)
		},
	})
	return &service{breaker: breaker, timeout: timeout}
}

// isFailure reports whether an error speaks against the service rather than against the call.
func isFailure(err error) bool {
	return errors.Is(err, wigeonshift.ErrUnavailable) || errors.Is(err, wigeonshift.ErrOutcomeUnknown)
}

// isRepeatable reports proof of no effect that a later try may not meet again.
func isRepeatable(err error) bool {
	return errors.Is(err, wigeonshift.ErrUnavailable) || errors.Is(err, wigeonshift.ErrThrottled)
}

// guarded runs one call with budget, breaker, deadline and retries.
func guarded[T any](ctx context.Context, g *Guard, s *service, budget *rate.Limiter,
	operation func(ctx context.Context) (T, error),
) (T, error) {
	var last error
	try := func() (T, error) {
		v, err := attempt(ctx, g, s, budget, operation)
		last = err
		if err != nil && !isRepeatable(err) {
			err = backoff.Permanent(err)
		}
		return v, err
	}
	v, err := backoff.Retry(ctx, try, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(g.tries),
		backoff.WithNotify(func(err error, _ time.Duration) { g.count("storeRetry", err) }))
	if err != nil {
		// Retry returns the context's own error when it ends; the last try's tells what is known of the effect.
		return v, last
	}
	return v, nil
}

func newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	b.RandomizationFactor = 0.5
	return b
}

// attempt makes one try. Its error always carries what is known of the effect.
func attempt[T any](ctx context.Context, g *Guard, s *service, budget *rate.Limiter,
	operation func(ctx context.Context) (T, error),
) (T, error) {
	var zero T
	bounded, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if err := budget.Wait(bounded); err != nil {
		err = oops.In("store").Wrap(errors.Join(wigeonshift.ErrThrottled, err))
		g.count("storeRefusal", err)
		return zero, err
	}
	done, err := s.breaker.Allow()
	if err != nil {
		err = oops.In("store").Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
		g.count("storeRefusal", err)
		return zero, err
	}
	v, err := operation(bounded)
	done(breakerError(ctx, err))
	return v, err
}

// errCancelled stands for a call that its own caller cancelled, which says nothing about the service.
var errCancelled = errors.New("cancelled by the caller")

func breakerError(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return errCancelled
	}
	return err
}

func (g *Guard) count(name string, err error) {
	g.scope.Tagged(map[string]string{"reason": reasonOf(err)}).Counter(name).Inc(1)
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, gobreaker.ErrOpenState), errors.Is(err, gobreaker.ErrTooManyRequests):
		return "breakerOpen"
	case errors.Is(err, wigeonshift.ErrThrottled):
		return "throttled"
	case errors.Is(err, wigeonshift.ErrUnavailable):
		return "unavailable"
	default:
		return "other"
	}
}
