package wigeonengine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"
	"wigeonshift/internal/standin/wigeonfault"

	"github.com/gofiber/fiber/v3"
)

const maxBodyBytes = 64 << 20

// idleTimeout closes connections that have no requests.
const idleTimeout = 60 * time.Second

// failure is an error response.
type failure struct {
	status int
	body   wigeonprotocol.Failure
}

func newFailure(status int, state wigeonshift.RunState, reason wigeonprotocol.Reason) *failure {
	return &failure{status: status, body: wigeonprotocol.Failure{State: state, Reason: reason}}
}

// Failures of the engine protocol.
var (
	failBadRequest     = newFailure(fiber.StatusBadRequest, wigeonshift.NotRun, wigeonprotocol.ReasonBadRequest)
	failRefused        = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonRefused)
	failDraining       = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonDraining)
	failModelNotLoaded = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonModelNotLoaded)
	failDuplicateToken = newFailure(fiber.StatusConflict, wigeonshift.Ran, wigeonprotocol.ReasonDuplicateToken)
	failUnknownStream  = newFailure(fiber.StatusNotFound, "", wigeonprotocol.ReasonUnknownStream)
	failStaleFence     = newFailure(fiber.StatusConflict, wigeonshift.NotRun, wigeonprotocol.ReasonStaleFence)
	failUnsupported    = newFailure(fiber.StatusNotImplemented, wigeonshift.NotRun, wigeonprotocol.ReasonUnsupported)
)

func (f *failure) send(c fiber.Ctx) error {
	if f.body.State != "" {
		c.Set(wigeonprotocol.HeaderRunState, string(f.body.State))
	}
	return c.Status(f.status).JSON(f.body)
}

// echoAttemptToken copies the request's attempt token to the response.
func echoAttemptToken(c fiber.Ctx) error {
	if token := c.Get(wigeonprotocol.HeaderAttempt); token != "" {
		c.Set(wigeonprotocol.HeaderAttempt, token)
	}
	return c.Next()
}

// newApp returns the HTTP application.
func (e *Engine) newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, IdleTimeout: idleTimeout})
	app.Use(echoAttemptToken)
	app.Post("/v1/generate", e.postGenerate)
	app.Get("/v1/stream", e.getStream)
	app.Delete("/v1/stream", e.deleteStream)
	app.Post("/v1/stream/pause", e.postPause)
	app.Get("/v1/stream/kv", e.getKV)
	app.Put("/v1/stream/kv", e.putKV)
	app.Get("/v1/load", e.getLoad)
	app.Get("/v1/cache/events", e.getCacheEvents)
	app.Post("/v1/orders", e.postOrder)
	app.Get("/health", e.getHealth)
	e.control().Register(app)
	return app
}

// control returns the interface for trials.
func (e *Engine) control() *wigeonfault.Control {
	return &wigeonfault.Control{
		Server: e.server, Faults: e.faults, SetFaults: e.SetFaults, Stats: func() any { return e.Stats() }, Contents: e.Contents,
	}
}

func (e *Engine) postGenerate(c fiber.Ctx) error {
	var r wigeonshift.GenerateRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil || r.Token == "" {
		return failBadRequest.send(c)
	}
	if marker := e.faults.Get().CrashMarker; marker != "" && strings.Contains(r.Prompt, marker) {
		e.crash()
		return nil
	}
	s, updates, f := e.enqueue(r)
	if f != nil {
		return f.send(c)
	}
	return e.sendStream(c, s, updates, 0)
}

func (e *Engine) getStream(c fiber.Ctx) error {
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil {
		return failBadRequest.send(c)
	}
	s, updates, f := e.resume(attemptToken(c), offset)
	if f != nil {
		return f.send(c)
	}
	return e.sendStream(c, s, updates, offset)
}

func (e *Engine) deleteStream(c fiber.Ctx) error {
	return sendNoContent(c, e.cancel(attemptToken(c)))
}

func (e *Engine) postPause(c fiber.Ctx) error {
	return sendNoContent(c, e.pause(attemptToken(c)))
}

func (e *Engine) getKV(c fiber.Ctx) error {
	document, f := e.exportKV(attemptToken(c))
	if f != nil {
		return f.send(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(document)
}

func (e *Engine) putKV(c fiber.Ctx) error {
	return sendNoContent(c, e.importKV(attemptToken(c), c.Body()))
}

func (e *Engine) getLoad(c fiber.Ctx) error {
	return c.JSON(e.laggedLoadReport(time.Now()))
}

func (e *Engine) getCacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return failBadRequest.send(c)
	}
	return c.JSON(e.cacheEvents(after, time.Now()))
}

func (e *Engine) postOrder(c fiber.Ctx) error {
	var o wigeonshift.Order
	if err := json.Unmarshal(c.Body(), &o); err != nil || o.ID == "" {
		return failBadRequest.send(c)
	}
	return sendNoContent(c, e.applyOrder(o))
}

func (e *Engine) getHealth(c fiber.Ctx) error {
	return c.SendStatus(fiber.StatusNoContent)
}

// sendNoContent responds with status 204, or with the failure if there is one.
func sendNoContent(c fiber.Ctx, f *failure) error {
	if f != nil {
		return f.send(c)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// attemptToken returns the attempt token of the request header. It copies the token, because Fiber reuses the request's
// buffer.
func attemptToken(c fiber.Ctx) wigeonshift.AttemptToken {
	return wigeonshift.AttemptToken(strings.Clone(c.Get(wigeonprotocol.HeaderAttempt)))
}
