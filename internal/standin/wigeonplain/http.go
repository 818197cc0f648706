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
	// maxBodyBytes bounds a call's body.
	maxBodyBytes = 16 << 20
	// idleTimeout closes connections without calls.
	idleTimeout = 60 * time.Second
)

// newApp returns the HTTP application.
func (s *Service) newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, IdleTimeout: idleTimeout})
	app.Get("/standin/stats", s.getStats)
	app.Get("/standin/contents", s.getContents)
	app.Get("/standin/faults", s.getFaults)
	app.Post("/standin/faults", s.postFaults)
	app.Get("/health", func(c fiber.Ctx) error { return c.SendStatus(fiber.StatusNoContent) })
	app.Use(s.fail)
	app.Post("/issues", s.postWrite)
	app.Post("/locks", s.postWrite)
	app.Get("/*", s.getRead)
	return app
}

// fail runs the faults around a call.
func (s *Service) fail(c fiber.Ctx) error {
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
	if s.refuse() {
		c.Set(wigeonprotocol.HeaderRunState, string(wigeonshift.NotRun))
		return c.Status(fiber.StatusServiceUnavailable).JSON(wigeonprotocol.Failure{
			State: wigeonshift.NotRun, Reason: wigeonprotocol.ReasonRefused,
		})
	}
	if !s.spend(f.ScaleDuration(s.latency) + f.FirstByteDelay()) {
		return c.RequestCtx().Conn().Close()
	}
	if err := c.Next(); err != nil {
		return err
	}
	if s.faults.TakeDroppedReply() {
		return c.RequestCtx().Conn().Close()
	}
	return s.stayMute(c)
}

// spend lets time pass; it is false when the service stops.
func (s *Service) spend(d time.Duration) bool {
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

// stayMute holds the answer back while a fault keeps the service silent.
func (s *Service) stayMute(c fiber.Ctx) error {
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

func (s *Service) postWrite(c fiber.Ctx) error {
	// The header's and the body's memory is reused after the call.
	token := wigeonshift.AttemptToken(strings.Clone(c.Get(wigeonprotocol.HeaderAttempt)))
	receipt := s.execute(token, c.Path(), string(c.Body()))
	return c.Status(fiber.StatusCreated).JSON(receipt)
}

func (s *Service) getRead(c fiber.Ctx) error {
	if !isRead(c.Path()) {
		return c.SendStatus(fiber.StatusNotFound)
	}
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.SendString(ReadAnswer(c.OriginalURL()))
}

func (s *Service) getStats(c fiber.Ctx) error {
	return c.JSON(s.Stats())
}

func (s *Service) getContents(c fiber.Ctx) error {
	return c.JSON(s.Contents())
}

func (s *Service) getFaults(c fiber.Ctx) error {
	return c.JSON(s.faults.Get())
}

func (s *Service) postFaults(c fiber.Ctx) error {
	f, err := wigeonfault.Parse(c.Body())
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	s.SetFaults(f)
	if f.Silence == wigeonfault.SilenceConnections {
		s.server.SilenceOpenConnections(c.RequestCtx().Conn())
	}
	return c.SendStatus(fiber.StatusNoContent)
}
