// Package wigeoncaller is the HTTP interface for callers, described in docs/caller-api.md.
package wigeoncaller

import (
	"context"
	"net"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonhttp"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Authenticator returns the product and organisation of an API key.
type Authenticator func(ctx context.Context, bearer string) (product, organisation string, err error)

// Settings are the connection limits for callers and the period of the disconnect check.
type Settings struct {
	wigeonshift.ConnectionLimits
	// DisconnectCheckPeriod is the period at which the connections of waiting callers are checked for disconnects.
	DisconnectCheckPeriod time.Duration
}

// DefaultSettings returns the settings used if none are given.
func DefaultSettings() Settings {
	return Settings{
		ConnectionLimits: wigeonshift.ConnectionLimits{
			MaxBodyBytes:   4 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxConnections: 20_000,
			ReadTimeout:    30 * time.Second,
			WriteTimeout:   15 * time.Second,
			IdleTimeout:    2 * time.Minute,
		},
		DisconnectCheckPeriod: 200 * time.Millisecond,
	}
}

// Server serves the HTTP API for callers.
type Server struct {
	entry        *wigeonentry.Service
	authenticate Authenticator
	settings     Settings
	isReady      func() bool
	log          logrus.FieldLogger
	app          *fiber.App
	watcher      *disconnectWatcher
	tasks        conc.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option { return func(s *Server) { s.settings = settings } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Server) { s.log = l } }

// WithReadiness adds a condition to the readiness check. An instance that is about to stop can then tell the load
// balancer before it refuses requests.
func WithReadiness(ready func() bool) Option { return func(s *Server) { s.isReady = ready } }

// New returns a server that is ready to Start.
func New(entry *wigeonentry.Service, authenticate Authenticator, opts ...Option) *Server {
	s := &Server{
		entry:        entry,
		authenticate: authenticate,
		settings:     DefaultSettings(),
		isReady:      func() bool { return true },
		log:          logrus.StandardLogger(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.watcher = newWatcher(s.settings.DisconnectCheckPeriod)
	s.app = fiber.New(fiber.Config{
		AppName:           "wigeonshift",
		BodyLimit:         s.settings.MaxBodyBytes,
		ReadBufferSize:    s.settings.MaxHeaderBytes,
		Concurrency:       s.settings.MaxConnections,
		ReadTimeout:       s.settings.ReadTimeout,
		IdleTimeout:       s.settings.IdleTimeout,
		ErrorHandler:      s.handleError,
		StreamRequestBody: false,
	})
	s.addRoutes()
	return s
}

func (s *Server) addRoutes() {
	s.app.Get("/healthz", s.health)
	s.app.Get("/readyz", s.ready)
	s.app.Get("/v1/models", s.models)
	s.app.Post("/v1/completions", s.completions)
	s.app.Post("/v1/chat/completions", s.chatCompletions)
	s.app.All(servicesPrefix+"*", s.serviceCall)
	s.app.Use(s.notFound)
}

// Start serves connections from a listener until Stop is called. It does not block.
func (s *Server) Start(_ context.Context, l net.Listener) error {
	a := &wigeonhttp.Acceptor{Name: "caller API", App: s.app, Log: s.log, Listener: &writeTimeoutListener{Listener: l, timeout: s.settings.WriteTimeout}}
	s.tasks.Go(s.watcher.run)
	s.tasks.Go(a.Run)
	return nil
}

// Stop closes the listener and waits until all responses are sent or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.watcher.close()
	if err != nil {
		return oops.In("caller").Wrapf(err, "stop")
	}
	s.tasks.Wait()
	return nil
}
