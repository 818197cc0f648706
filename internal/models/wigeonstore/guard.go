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

// Defaults and backoff limits of a Guard.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultObjectTimeout   = 10 * time.Second
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 20
	DefaultBurst           = 40
	DefaultMaxAttempts     = 3
	DefaultBreakerFailures = 5
	DefaultBreakerTimeout  = 2 * time.Second
	initialBackoff         = 50 * time.Millisecond
	maxBackoff             = time.Second
)

// Guard wraps a platform client and adds deadlines, rate limits, circuit breakers and retries to its calls. It retries
// a write only if the error proves that the write had no effect.
type Guard struct {
	backend         wigeonshift.Platform
	callTimeout     time.Duration
	objectTimeout   time.Duration
	maxAttempts     uint
	readLimiter     *rate.Limiter
	writeLimiter    *rate.Limiter
	breakerFailures uint32
	breakerTimeout  time.Duration
	scope           tally.Scope
	table           *service
	objects         *service
	instances       *service
	weights         *service
}

// service holds the circuit breaker and the timeout for one of the platform's services.
type service struct {
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	// timeout limits one attempt of a call.
	timeout time.Duration
}

// Option configures a Guard.
type Option func(*Guard)

// WithCallTimeout sets the timeout of each attempt of a call, except calls to the object store.
func WithCallTimeout(d time.Duration) Option {
	return func(g *Guard) { g.callTimeout = d }
}

// WithObjectTimeout sets the timeout of each attempt of an object store call. It is separate because objects may be
// large.
func WithObjectTimeout(d time.Duration) Option {
	return func(g *Guard) { g.objectTimeout = d }
}

// WithRateLimits limits the reads and writes per second of this instance.
func WithRateLimits(readsPerSecond, writesPerSecond float64, burst int) Option {
	return func(g *Guard) {
		g.readLimiter = rate.NewLimiter(rate.Limit(readsPerSecond), burst)
		g.writeLimiter = rate.NewLimiter(rate.Limit(writesPerSecond), burst)
	}
}

// WithMaxAttempts limits the attempts of one call.
func WithMaxAttempts(n uint) Option {
	return func(g *Guard) { g.maxAttempts = n }
}

// WithBreaker opens a circuit breaker after consecutive failures and lets it probe the service again after a timeout.
func WithBreaker(breakerFailures uint32, breakerTimeout time.Duration) Option {
	return func(g *Guard) { g.breakerFailures, g.breakerTimeout = breakerFailures, breakerTimeout }
}

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(g *Guard) { g.scope = s }
}

// New returns a Guard around a platform client.
func New(backend wigeonshift.Platform, opts ...Option) *Guard {
	g := &Guard{
		backend:         backend,
		callTimeout:     DefaultCallTimeout,
		objectTimeout:   DefaultObjectTimeout,
		maxAttempts:     DefaultMaxAttempts,
		readLimiter:     rate.NewLimiter(DefaultReadsPerSecond, DefaultBurst),
		writeLimiter:    rate.NewLimiter(DefaultWritesPerSecond, DefaultBurst),
		breakerFailures: DefaultBreakerFailures,
		breakerTimeout:  DefaultBreakerTimeout,
		scope:           tally.NoopScope,
	}
	for _, o := range opts {
		o(g)
	}
	g.table = g.newService("table", g.callTimeout)
	g.objects = g.newService("objects", g.objectTimeout)
	g.instances = g.newService("instances", g.callTimeout)
	g.weights = g.newService("weights", g.callTimeout)
	return g
}

func (g *Guard) newService(name string, timeout time.Duration) *service {
	breaker := gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name:         name,
		Timeout:      g.breakerTimeout,
		ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= g.breakerFailures },
		IsSuccessful: func(err error) bool { return !isServiceFailure(err) },
		IsExcluded:   func(err error) bool { return errors.Is(err, errCancelled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			g.scope.Tagged(map[string]string{"service": name, "state": to.String()}).Counter("storeBreaker").Inc(1)
		},
	})
	return &service{breaker: breaker, timeout: timeout}
}

// isServiceFailure reports whether an error is a failure of the service and not of the call.
func isServiceFailure(err error) bool {
	return errors.Is(err, wigeonshift.ErrUnavailable) || errors.Is(err, wigeonshift.ErrOutcomeUnknown)
}

// isRetryable reports whether an error proves that the call had no effect, and another attempt may succeed.
func isRetryable(err error) bool {
	return errors.Is(err, wigeonshift.ErrUnavailable) || errors.Is(err, wigeonshift.ErrThrottled)
}

// callWithRetries runs a call with rate limit, circuit breaker, timeout and retries.
func callWithRetries[T any](ctx context.Context, g *Guard, s *service, limiter *rate.Limiter,
	operation func(ctx context.Context) (T, error),
) (T, error) {
	var lastErr error
	attempt := func() (T, error) {
		v, err := callOnce(ctx, g, s, limiter, operation)
		lastErr = err
		if err != nil && !isRetryable(err) {
			err = backoff.Permanent(err)
		}
		return v, err
	}
	v, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newBackoff()), backoff.WithMaxTries(g.maxAttempts),
		backoff.WithNotify(func(err error, _ time.Duration) { g.count("storeRetry", err) }))
	if err != nil {
		// Retry returns the context's error if the context ends. The error of the last attempt is returned instead
		// because it tells what is known about the effect of the call.
		return v, lastErr
	}
	return v, nil
}

func newBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.RandomizationFactor = 0.5
	return b
}

// callOnce makes one attempt of a call. Its error always tells what is known about the effect of the call.
func callOnce[T any](ctx context.Context, g *Guard, s *service, limiter *rate.Limiter,
	operation func(ctx context.Context) (T, error),
) (T, error) {
	var zero T
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if err := limiter.Wait(callCtx); err != nil {
		err = oops.In("store").Wrap(errors.Join(wigeonshift.ErrThrottled, err))
		g.count("storeRefusal", err)
		return zero, err
	}
	report, err := s.breaker.Allow()
	if err != nil {
		err = oops.In("store").Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
		g.count("storeRefusal", err)
		return zero, err
	}
	v, err := operation(callCtx)
	report(breakerError(ctx, err))
	return v, err
}

// errCancelled replaces the error of a call that was cancelled by its caller, because such an error says nothing about
// the state of the service.
var errCancelled = errors.New("call cancelled by its caller")

// breakerError returns the error to report to the circuit breaker.
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
