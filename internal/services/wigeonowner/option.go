package wigeonowner

import (
	"io"
	"time"

	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Option configures a Manager.
type Option func(*Manager)

// WithScope sets the metrics scope.
func WithScope(s tally.Scope) Option {
	return func(m *Manager) { m.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(m *Manager) { m.log = l }
}

// WithReducerOptions sets the options of every shard's reducer.
func WithReducerOptions(opts ...wigeonscheduler.Option) Option {
	return func(m *Manager) { m.reducerOptions = opts }
}

// WithRebuildTimeout sets how long a new owner waits for the entries' reports after a takeover.
func WithRebuildTimeout(d time.Duration) Option {
	return func(m *Manager) { m.rebuildTimeout = d }
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
