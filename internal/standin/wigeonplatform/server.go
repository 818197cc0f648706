package wigeonplatform

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"wigeonshift"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Bounds of the server.
const (
	// callTimeout ends calls that a fault holds back.
	callTimeout   = 30 * time.Second
	idleTimeout   = 60 * time.Second
	probePeriod   = time.Second
	probeTimeout  = 500 * time.Millisecond
	probeFailures = 2
)

// Server serves a core over HTTP and watches whether the instances on its list still accept connections.
type Server struct {
	core     *Core
	app      *fiber.App
	log      logrus.FieldLogger
	tls      *tls.Config
	listener net.Listener
	cancel   context.CancelFunc
	// callContext bounds one call; Stop ends it.
	callContext func() (context.Context, context.CancelFunc)
	wg          conc.WaitGroup
	// failed counts the probes in a row that an instance did not accept.
	failed map[string]int
}

// ServerOption changes a server at construction.
type ServerOption func(*Server)

// WithLogger sets the log.
func WithLogger(l logrus.FieldLogger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithTLS serves TLS.
func WithTLS(t *tls.Config) ServerOption {
	return func(s *Server) { s.tls = t }
}

// NewServer returns a server of a core on a listener.
func NewServer(core *Core, l net.Listener, opts ...ServerOption) *Server {
	s := &Server{core: core, listener: l, log: logrus.StandardLogger(), failed: map[string]int{}}
	for _, o := range opts {
		o(s)
	}
	if s.tls != nil {
		s.listener = tls.NewListener(l, s.tls)
	}
	s.app = fiber.New(fiber.Config{
		BodyLimit:         MaxObjectBytes,
		IdleTimeout:       idleTimeout,
		ReduceMemoryUsage: true,
		ErrorHandler:      answerError,
	})
	s.routes()
	return s
}

// Address returns the address the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves until Stop.
func (s *Server) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.callContext = func() (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, callTimeout) }
	s.wg.Go(s.runServer)
	s.wg.Go(func() { s.loopProbes(ctx) })
	return nil
}

// Stop ends the server; open calls have until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	err := s.app.ShutdownWithContext(ctx)
	s.wg.Wait()
	return err
}

func (s *Server) runServer() {
	if err := s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		s.log.WithError(err).Error("stand-in platform stopped serving")
	}
}

// loopProbes drops instances that no longer accept connections.
func (s *Server) loopProbes(ctx context.Context) {
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.probe(ctx)
		}
	}
}

func (s *Server) probe(ctx context.Context) {
	for _, i := range s.core.KnownInstances() {
		if accepts(ctx, i) {
			delete(s.failed, i.ID)
			continue
		}
		s.failed[i.ID]++
		if s.failed[i.ID] >= probeFailures {
			delete(s.failed, i.ID)
			s.core.RemoveInstance(i.ID)
			s.log.WithField("instance", i.ID).Info("instance no longer accepts connections")
		}
	}
}

func accepts(ctx context.Context, i wigeonshift.Instance) bool {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
