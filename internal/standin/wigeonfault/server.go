package wigeonfault

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// ErrNotStarted reports a server that has no listener.
var ErrNotStarted = errors.New("server is not started")

// Server serves a Fiber application that can crash and restart at the same address.
type Server struct {
	// newApp creates the application; each restart after a crash creates a new one.
	newApp func() *fiber.App

	mu           sync.Mutex
	address      string
	current      *appServer
	stopped      bool
	restartTimer *time.Timer
	wg           conc.WaitGroup
}

// appServer serves one application on one listener.
type appServer struct {
	app      *fiber.App
	listener *Listener
}

// run serves until the listener is closed.
func (s *appServer) run() {
	// The error only reports that the listener was closed.
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// NewServer returns a server for an address; port 0 selects a free port.
func NewServer(address string, newApp func() *fiber.App) *Server {
	return &Server{address: address, newApp: newApp}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

// listen serves a new application. It keeps the address so that a restart uses the same port.
func (s *Server) listen() error {
	l, err := Listen(s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.current = &appServer{app: s.newApp(), listener: l}
	s.wg.Go(s.current.run)
	return nil
}

// Address returns the address that the server listens at.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Crash resets every connection and stops listening. If delay is positive, the server listens again after it.
func (s *Server) Crash(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.listener.Abort()
	s.current = nil
	if delay > 0 {
		s.restartTimer = time.AfterFunc(delay, s.relisten)
	}
}

// relisten listens again after a crash, unless the server was stopped in the meantime. It retries every second.
func (s *Server) relisten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current != nil {
		return
	}
	if err := s.listen(); err != nil {
		s.restartTimer = time.AfterFunc(time.Second, s.relisten)
	}
}

// SilenceOpenConnections silences the open connections permanently, except one, which may be nil.
func (s *Server) SilenceOpenConnections(except net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.listener.SilenceOpenConnections(except)
	}
}

// Stop lets open requests finish until the context ends, and then resets the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	current := s.current
	s.current = nil
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.mu.Unlock()
	var err error
	if current != nil {
		err = current.app.ShutdownWithContext(ctx)
		current.listener.Abort()
	}
	s.wg.Wait()
	return err
}
