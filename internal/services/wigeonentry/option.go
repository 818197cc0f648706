package wigeonentry

import (
	"io"
	"time"

	"wigeonshift"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	retryAfterBusy = time.Second
	// retryAfterShutdown advises an immediate resend, because the resend reaches another instance.
	retryAfterShutdown = time.Millisecond
	// bytesPerToken is the average token length that defaultAnalyzer assumes, in bytes.
	bytesPerToken = 4
)

// Settings are the limits of the entry path.
type Settings struct {
	// MaxConcurrent limits the requests in flight. At the limit a new request can displace one of a lower tier.
	MaxConcurrent int
	// MaxBodyBytes limits the body or prompt for services without a limit of their own.
	MaxBodyBytes int
	// MaxTimeout limits the time from arrival to the deadline.
	MaxTimeout time.Duration
	// FirstTokenTimeout limits the wait for the first token or for a plain service's answer.
	FirstTokenTimeout time.Duration
	// StreamTimeout limits the time between two chunks of a stream.
	StreamTimeout time.Duration
	// ControlTimeout limits one pause, cancel or claim call.
	ControlTimeout time.Duration
	// SettleWait limits how long an answer waits until its outcome is recorded.
	SettleWait time.Duration
	// SettleTimeout limits the time over all retries to record an outcome.
	SettleTimeout time.Duration
	// ClaimRetention is how long a claim and its outcome are kept.
	ClaimRetention time.Duration
}

// DefaultSettings returns the settings that New uses without WithSettings.
func DefaultSettings() Settings {
	return Settings{
		MaxConcurrent:     10_000,
		MaxBodyBytes:      4 << 20,
		MaxTimeout:        time.Hour,
		FirstTokenTimeout: time.Minute,
		StreamTimeout:     10 * time.Second,
		ControlTimeout:    2 * time.Second,
		SettleWait:        250 * time.Millisecond,
		SettleTimeout:     time.Minute,
		ClaimRetention:    24 * time.Hour,
	}
}

// Option configures a Service in New.
type Option func(*Service)

// WithSettings sets the limits.
func WithSettings(settings Settings) Option { return func(s *Service) { s.settings = settings } }

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(s *Service) { s.counters = newCounters(scope) }
}

// WithAnalyzer sets the function that analyzes prompts.
func WithAnalyzer(a Analyzer) Option { return func(s *Service) { s.analyze = a } }

// WithBackOff sets the backoff between attempts to record an outcome.
func WithBackOff(b func() backoff.BackOff) Option { return func(s *Service) { s.backOff = b } }

// defaultAnalyzer estimates the number of tokens from the number of bytes. It returns no prefix hashes.
func defaultAnalyzer(g Generate) Analysis {
	return Analysis{
		Tokens:      len(g.Prompt)/bytesPerToken + 1,
		Fingerprint: wigeonshift.Fingerprint(xxhash.Sum64String(g.Model + "\x00" + g.Prompt)),
	}
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
