// Package wigeonmetric collects the metrics of a process and serves them in the Prometheus text format.
package wigeonmetric

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	prometheus "github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// ReportInterval is the interval at which the scope reports its metrics to Prometheus.
const ReportInterval = time.Second

// Metrics owns the root scope and the HTTP server that exposes it.
type Metrics struct {
	reporter reporter.Reporter
	scope    tally.Scope
	closer   io.Closer
	app      *fiber.App
	listener net.Listener
	wg       conc.WaitGroup
}

// New returns metrics whose names all start with the prefix.
func New(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  r,
		Separator:       reporter.DefaultSeparator,
		SanitizeOptions: &reporter.DefaultSanitizerOpts,
	}, ReportInterval)
	return &Metrics{reporter: r, scope: scope, closer: closer}
}

// Scope returns the root scope, from which the metrics of the process are derived.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// Start serves the metrics at the path /metrics of an address.
func (m *Metrics) Start(ctx context.Context, address string) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return oops.In("metrics").With("listen", address).Wrap(err)
	}
	m.listener = listener
	m.app = fiber.New()
	m.app.Get("/metrics", adaptor.HTTPHandler(m.reporter.HTTPHandler()))
	m.wg.Go(m.run)
	return nil
}

// Address returns the address of the server, empty before Start.
func (m *Metrics) Address() string {
	if m.listener == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// Stop shuts down the server and flushes the scope.
func (m *Metrics) Stop(ctx context.Context) error {
	if m.app != nil {
		if err := m.app.ShutdownWithContext(ctx); err != nil {
			return oops.In("metrics").Wrap(err)
		}
	}
	m.wg.Wait()
	return m.closer.Close()
}

// run serves requests until the server is shut down.
func (m *Metrics) run() {
	_ = m.app.Listener(m.listener, fiber.ListenConfig{DisableStartupMessage: true})
}
