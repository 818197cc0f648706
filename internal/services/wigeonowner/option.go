package wigeonowner

import (
	"io"
	"time"

	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Option changes a setting of a Manager.
type Option func(*Manager)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(m *Manager) { m.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(m *Manager) { m.log = l }
}

// WithPolicy sets options of every shard's reducer.
func WithPolicy(opts ...wigeonscheduler.Option) Option {
	return func(m *Manager) { m.policy = opts }
}

// WithRebuildTime sets the bound on waiting for entries' reports after a takeover.
func WithRebuildTime(d time.Duration) Option {
	return func(m *Manager) { m.rebuildTime = d }
}

// discardLogger returns a logger without output.
func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
