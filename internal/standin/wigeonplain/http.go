package wigeonplain

import (
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"
	"wigeonshift/internal/standin/wigeonfault"

	"github.com/gofiber/fiber/v3"
)

const (
	maxBodyBytes = 16 << 20
	// idleTimeout closes connections that have no calls.
	idleTimeout = 60 * time.Second
)

// newApp returns the HTTP application. The routes before injectFaults work without faults.
func (s *Service) newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, IdleTimeout: idleTimeout})
	s.control().Register(app)
	app.Get("/health", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusNoContent) })
	app.Use(s.injectFaults)
	app.Post("/issues", s.handleWrite)
	app.Post("/locks", s.handleWrite)
	app.Get("/*", s.handleRead)
	return app
}

// control returns the interface for trials.
func (s *Service) control() *wigeonfault.Control {
	return &wigeonfault.Control{
		Server: s.server, Faults: s.faults, SetFaults: s.SetFaults, Stats: func() any { return s.Stats() }, Contents: s.Contents,
	}
}

// injectFaults applies the active faults before and after a call.
func (s *Service) injectFaults(c fiber.Ctx) error {
	token := c.Get(wigeonprotocol.HeaderAttempt)
	f := s.faults.Get()
	if f.CrashMarker != "" && strings.Contains(string(c.Body()), f.CrashMarker) {
		s.crash()
		return nil
	}
	if s.faults.TakeCrossedReply() {
		token += "x"
	}
	c.Set(wigeonprotocol.HeaderAttempt, token)
	if s.shouldRefuse() {
		c.Set(wigeonprotocol.HeaderRunState, string(wigeonshift.NotRun))
		return c.Status(fiber.StatusServiceUnavailable).JSON(wigeonprotocol.Failure{
			State: wigeonshift.NotRun, Reason: wigeonprotocol.ReasonRefused,
		})
	}
	if !s.sleep(f.ScaleDuration(s.latency) + f.FirstByteDelay()) {
		return c.RequestCtx().Conn().Close()
	}
	if err := c.Next(); err != nil {
		return err
	}
	if s.faults.TakeDroppedReply() {
		return c.RequestCtx().Conn().Close()
	}
	return s.waitWhileSilent(c)
}

// sleep waits for a duration. It returns false if the service stops first.
func (s *Service) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

// waitWhileSilent delays the response while the SilenceRequests fault is active.
func (s *Service) waitWhileSilent(c fiber.Ctx) error {
	for {
		changed := s.faults.Changed()
		if s.faults.Get().Silence != wigeonfault.SilenceRequests {
			return nil
		}
		select {
		case <-changed:
		case <-s.stopped:
			return c.RequestCtx().Conn().Close()
		}
	}
}

func (s *Service) handleWrite(c fiber.Ctx) error {
	// Fiber reuses the memory of the header and the body after the call, so the ledger needs copies.
	token := wigeonshift.AttemptToken(strings.Clone(c.Get(wigeonprotocol.HeaderAttempt)))
	receipt := s.execute(token, c.Path(), string(c.Body()))
	return c.Status(fiber.StatusCreated).JSON(receipt)
}

func (s *Service) handleRead(c fiber.Ctx) error {
	if !isReadPath(c.Path()) {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.SendString(ReadResponse(c.OriginalURL()))
}
