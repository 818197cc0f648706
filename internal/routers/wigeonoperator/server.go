// Package wigeonoperator is the HTTP interface for operators, described in docs/operator-api.md.
package wigeonoperator

import (
	"context"
	"net"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/modules/wigeonhttp"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Limits of the server.
const (
	// callTimeout is the timeout of a call, including its calls to the platform.
	callTimeout = 15 * time.Second
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// versionsTimeout is the timeout for collecting the versions of other instances.
	versionsTimeout = time.Second
	maxConnections  = 256
	// maxBodyBytes leaves room for the JSON object around a patch.
	maxBodyBytes = wigeonconfig.MaxPatchBytes + 64<<10
)

// Instance gives the API access to the instance that it runs on.
type Instance struct {
	// Current returns the current configuration, or nil if there is none yet.
	Current func() *wigeonshift.Configuration
	// Accept applies an accepted change on this instance and pushes it to the other instances.
	Accept func(wigeonshift.Change, *wigeonshift.Configuration)
	// Versions returns the current configuration versions of the live instances.
	Versions func(context.Context) []wigeonshift.InstanceVersion
	// Status returns the status of this instance.
	Status func(context.Context) wigeonshift.InstanceStatus
}

// Server serves the HTTP API for operators.
type Server struct {
	repository *wigeonconfig.Repository
	instance   Instance
	keys       map[string]Key
	log        logrus.FieldLogger
	scope      tally.Scope
	app        *fiber.App
	tasks      conc.WaitGroup
}

// Option configures a Server.
type Option func(*Server)

// WithKeys adds operator keys. Without any keys, every call is refused.
func WithKeys(keys ...Key) Option {
	return func(s *Server) {
		for _, k := range keys {
			s.keys[k.Name] = k
		}
	}
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(s *Server) { s.log = l }
}

// WithScope sets the metrics scope.
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
	v1.Get("/status", s.requireRole(RoleViewer, s.status))
	v1.Get("/versions", s.requireRole(RoleViewer, s.versions))
	v1.Get("/configuration", s.requireRole(RoleViewer, s.show))
	v1.Get("/configuration/changes", s.requireRole(RoleViewer, s.changes))
	v1.Get("/configuration/diff", s.requireRole(RoleViewer, s.diff))
	v1.Get("/configuration/snapshot/:version", s.requireRole(RoleViewer, s.snapshot))
	v1.Post("/configuration/patches", s.requireRole(RoleEditor, s.patch))
	v1.Post("/configuration/rollback", s.requireRole(RoleEditor, s.rollback))
	s.app.Use(func(fiber.Ctx) error { return newRefusal(fiber.StatusNotFound, ReasonNotFound, "no such path") })
}

// Start serves connections from a listener until Stop is called. It does not block.
func (s *Server) Start(_ context.Context, l net.Listener) error {
	a := &wigeonhttp.Acceptor{Name: "operator API", App: s.app, Log: s.log, Listener: l}
	s.tasks.Go(a.Run)
	return nil
}

// Stop closes the listener and waits until all responses are sent or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return oops.In("operator").Wrapf(err, "stop")
	}
	s.tasks.Wait()
	return nil
}
