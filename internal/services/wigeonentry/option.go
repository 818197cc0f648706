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
	// retryAfterElsewhere advises an immediate resend, which another instance gets.
	retryAfterElsewhere = time.Millisecond
	// bytesPerToken is the default estimate of a prompt's length.
	bytesPerToken = 4
)

// Settings are the limits of the entry path.
type Settings struct {
	// MaxConcurrent bounds the requests in flight. At the bound a request of a lower tier gives way to a higher one.
	MaxConcurrent int
	// MaxBodyBytes bounds the body or prompt of services without a bound of their own.
	MaxBodyBytes int
	// MaxTimeout bounds the time to the deadline.
	MaxTimeout time.Duration
	// FirstTokenTimeout bounds the wait for the first token or a plain service's answer.
	FirstTokenTimeout time.Duration
	// StreamTimeout bounds the silence between tokens.
	StreamTimeout time.Duration
	// ControlTimeout bounds one pause, cancel or claim call.
	ControlTimeout time.Duration
	// SettleWait bounds how long an answer waits for its outcome to be recorded.
	SettleWait time.Duration
	// SettleTimeout bounds the attempts to record an outcome.
	SettleTimeout time.Duration
	// ClaimRetention is the time for which an outcome is kept.
	ClaimRetention time.Duration
}

// DefaultSettings returns the limits used when none are given.
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

// Option changes a service under construction.
type Option func(*Service)

// WithSettings sets the limits.
func WithSettings(settings Settings) Option { return func(s *Service) { s.settings = settings } }

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option {
	return func(s *Service) { s.counters = newCounters(scope) }
}

// WithAnalyzer sets the analysis of prompts.
func WithAnalyzer(a Analyzer) Option { return func(s *Service) { s.analyze = a } }

// WithBackOff sets the waits between attempts to record an outcome.
func WithBackOff(b func() backoff.BackOff) Option { return func(s *Service) { s.backOff = b } }

// defaultAnalyzer estimates the length from the number of bytes and knows no prefixes.
func defaultAnalyzer(g Generate) Analysis {
	return Analysis{
		Tokens:      len(g.Prompt)/bytesPerToken + 1,
		Fingerprint: wigeonshift.Fingerprint(xxhash.Sum64String(g.Model + "\x00" + g.Prompt)),
	}
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
