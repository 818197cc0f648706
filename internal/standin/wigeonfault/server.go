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

// ErrNotStarted reports a server without a listener.
var ErrNotStarted = errors.New("server is not started")

// Server runs a fiber application that can crash and come back at the same address.
type Server struct {
	// build makes the application; a fresh one serves after each crash.
	build func() *fiber.App

	mu      sync.Mutex
	address string
	current *serving
	stopped bool
	restart *time.Timer
	wg      conc.WaitGroup
}

// serving is one application on one listener.
type serving struct {
	app      *fiber.App
	listener *Listener
}

// run serves until the listener is closed.
func (s *serving) run() {
	// The error of a closed listener tells nothing new.
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// NewServer returns a server for an address; port 0 takes a free port.
func NewServer(address string, build func() *fiber.App) *Server {
	return &Server{address: address, build: build}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen()
}

func (s *Server) listen() error {
	l, err := Listen(s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.current = &serving{app: s.build(), listener: l}
	s.wg.Go(s.current.run)
	return nil
}

// Address returns the address listened at.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Crash cuts every connection and stops listening; a positive delay brings the server back.
func (s *Server) Crash(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.listener.Cut()
	s.current = nil
	if delay > 0 {
		s.restart = time.AfterFunc(delay, s.comeBack)
	}
}

// comeBack listens again after a crash, unless the server was stopped meanwhile.
func (s *Server) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.current != nil {
		return
	}
	if err := s.listen(); err != nil {
		s.restart = time.AfterFunc(time.Second, s.comeBack)
	}
}

// Mute makes the open connections silent for good, except one.
func (s *Server) Mute(except net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.listener.Mute(except)
	}
}

// Stop lets open requests finish until the context ends, then cuts them.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	current := s.current
	s.current = nil
	if s.restart != nil {
		s.restart.Stop()
	}
	s.mu.Unlock()
	var err error
	if current != nil {
		err = current.app.ShutdownWithContext(ctx)
		current.listener.Cut()
	}
	s.wg.Wait()
	return err
}
