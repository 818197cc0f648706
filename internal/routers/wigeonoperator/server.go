// Package wigeonoperator is the HTTP interface for operators, described in docs/operator-api.md.
package wigeonoperator

import (
	"context"
	"net"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Bounds of the server.
const (
	// callTimeout bounds one call, the platform's part included.
	callTimeout = 15 * time.Second
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// surveyTimeout bounds the wait for the versions of other instances.
	surveyTimeout  = time.Second
	maxConnections = 256
	// maxBodyBytes leaves room for a patch's envelope.
	maxBodyBytes = wigeonconfig.MaxPatchBytes + 64<<10
)

// Instance is what the API shows and changes of the instance it runs on.
type Instance struct {
	// Current returns the configuration in force, nil before the first.
	Current func() *wigeonshift.Configuration
	// Accept brings an accepted change into force here and pushes it to the others.
	Accept func(wigeonshift.Change, *wigeonshift.Configuration)
	// Versions returns the versions in force on the live instances.
	Versions func(context.Context) []wigeonshift.InstanceVersion
	// Status returns this instance's state.
	Status func(context.Context) wigeonshift.InstanceStatus
}

// Server serves operators.
type Server struct {
	repository *wigeonconfig.Repository
	instance   Instance
	keys       map[string]Key
	log        logrus.FieldLogger
	scope      tally.Scope
	app        *fiber.App
	tasks      conc.WaitGroup
}

// Option changes a server at construction.
type Option func(*Server)

// WithKeys sets the operators' keys. Without any, every call is refused.
func WithKeys(keys ...Key) Option {
	return func(s *Server) {
		for _, k := range keys {
			s.keys[k.Name] = k
		}
	}
}

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Server) { s.log = l }
}

// WithScope sets the metrics.
func WithScope(sc tally.Scope) Option {
	return func(s *Server) { s.scope = sc }
}

// New returns a server that is ready to Start.
func New(r *wigeonconfig.Repository, i Instance, opts ...Option) *Server {
	s := &Server{
		repository: r, instance: i, keys: map[string]Key{}, log: logrus.StandardLogger(), scope: tally.NoopScope,
	}
	for _, o := range opts {
		o(s)
	}
	s.app = fiber.New(fiber.Config{
		AppName: "wigeonshift", BodyLimit: maxBodyBytes, Concurrency: maxConnections,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ErrorHandler: s.handleError,
	})
	s.addRoutes()
	return s
}

func (s *Server) addRoutes() {
	v1 := s.app.Group("/operator/v1")
	v1.Get("/status", s.allow(RoleViewer, s.status))
	v1.Get("/versions", s.allow(RoleViewer, s.versions))
	v1.Get("/configuration", s.allow(RoleViewer, s.show))
	v1.Get("/configuration/changes", s.allow(RoleViewer, s.changes))
	v1.Get("/configuration/diff", s.allow(RoleViewer, s.diff))
	v1.Get("/configuration/snapshot/:version", s.allow(RoleViewer, s.snapshot))
	v1.Post("/configuration/patches", s.allow(RoleEditor, s.patch))
	v1.Post("/configuration/rollback", s.allow(RoleEditor, s.rollback))
	s.app.Use(func(fiber.Ctx) error { return refuse(fiber.StatusNotFound, ReasonNotFound, "no such path") })
}

// Start serves a listener until Stop. It returns at once.
func (s *Server) Start(_ context.Context, l net.Listener) error {
	a := &acceptor{app: s.app, log: s.log, listener: l}
	s.tasks.Go(a.run)
	return nil
}

// Stop closes the listener and waits for the open answers until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return oops.In("operator").Wrapf(err, "stop")
	}
	s.tasks.Wait()
	return nil
}

// acceptor runs the app on one listener.
type acceptor struct {
	app      *fiber.App
	log      logrus.FieldLogger
	listener net.Listener
}

func (a *acceptor) run() {
	if err := a.app.Listener(a.listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		a.log.WithError(err).Error("serving operators ended")
	}
}
