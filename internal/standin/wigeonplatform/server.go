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

// Timeouts and probe settings of the server.
const (
	// callTimeout ends calls that a fault delays.
	callTimeout      = 30 * time.Second
	idleTimeout      = 60 * time.Second
	probePeriod      = time.Second
	probeTimeout     = 500 * time.Millisecond
	maxProbeFailures = 2
)

// Server serves a core over HTTP. It removes listed instances that no longer accept connections.
type Server struct {
	core     *Core
	app      *fiber.App
	log      logrus.FieldLogger
	tls      *tls.Config
	listener net.Listener
	cancel   context.CancelFunc
	// newCallContext returns the context of one call. It ends after callTimeout or when the server stops.
	newCallContext func() (context.Context, context.CancelFunc)
	wg             conc.WaitGroup
	// probeFailures counts the consecutive failed probes of each instance.
	probeFailures map[string]int
}

// ServerOption configures a new server.
type ServerOption func(*Server)

// WithLogger sets the logger; the default is the standard logger.
func WithLogger(l logrus.FieldLogger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithTLS makes the server accept TLS connections.
func WithTLS(t *tls.Config) ServerOption {
	return func(s *Server) { s.tls = t }
}

// NewServer returns a server that serves a core on a listener.
func NewServer(core *Core, l net.Listener, opts ...ServerOption) *Server {
	s := &Server{core: core, listener: l, log: logrus.StandardLogger(), probeFailures: map[string]int{}}
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
		ErrorHandler:      handleError,
	})
	s.registerRoutes()
	return s
}

// Address returns the address the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Start serves in the background until Stop.
func (s *Server) Start(_ context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.newCallContext = func() (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, callTimeout) }
	s.wg.Go(s.runServer)
	s.wg.Go(func() { s.loopProbes(ctx) })
	return nil
}

// Stop cancels the contexts of open calls and waits until they finish or the context ends.
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

// loopProbes removes instances that no longer accept connections.
func (s *Server) loopProbes(ctx context.Context) {
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.probeInstances(ctx)
		}
	}
}

// probeInstances connects to each instance and removes those that failed maxProbeFailures probes in a row.
func (s *Server) probeInstances(ctx context.Context) {
	for _, i := range s.core.CurrentInstances() {
		if acceptsConnections(ctx, i) {
			delete(s.probeFailures, i.ID)
			continue
		}
		s.probeFailures[i.ID]++
		if s.probeFailures[i.ID] >= maxProbeFailures {
			delete(s.probeFailures, i.ID)
			s.core.RemoveInstance(i.ID)
			s.log.WithField("instance", i.ID).Info("instance no longer accepts connections")
		}
	}
}

func acceptsConnections(ctx context.Context, i wigeonshift.Instance) bool {
	d := net.Dialer{Timeout: probeTimeout}
	c, err := d.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
