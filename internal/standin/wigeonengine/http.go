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

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 64 << 20

// idleTimeout closes connections without requests.
const idleTimeout = 60 * time.Second

// failure is an answer that is not a result.
type failure struct {
	status int
	body   wigeonprotocol.Failure
}

func newFailure(status int, state wigeonshift.RunState, reason wigeonprotocol.Reason) *failure {
	return &failure{status: status, body: wigeonprotocol.Failure{State: state, Reason: reason}}
}

// Failures of the engine protocol.
var (
	failBadRequest    = newFailure(fiber.StatusBadRequest, wigeonshift.NotRun, wigeonprotocol.ReasonBadRequest)
	failRefused       = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonRefused)
	failDraining      = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonDraining)
	failModel         = newFailure(fiber.StatusServiceUnavailable, wigeonshift.NotRun, wigeonprotocol.ReasonModelNotLoaded)
	failDuplicate     = newFailure(fiber.StatusConflict, wigeonshift.Ran, wigeonprotocol.ReasonDuplicateToken)
	failUnknownStream = newFailure(fiber.StatusNotFound, "", wigeonprotocol.ReasonUnknownStream)
	failStaleFence    = newFailure(fiber.StatusConflict, wigeonshift.NotRun, wigeonprotocol.ReasonStaleFence)
	failUnsupported   = newFailure(fiber.StatusNotImplemented, wigeonshift.NotRun, wigeonprotocol.ReasonUnsupported)
)

func (f *failure) send(c fiber.Ctx) error {
	if f.body.State != "" {
		c.Set(wigeonprotocol.HeaderRunState, string(f.body.State))
	}
	return c.Status(f.status).JSON(f.body)
}

// echoAttempt puts the request's attempt token into the answer.
func echoAttempt(c fiber.Ctx) error {
	if token := c.Get(wigeonprotocol.HeaderAttempt); token != "" {
		c.Set(wigeonprotocol.HeaderAttempt, token)
	}
	return c.Next()
}

// newApp returns the HTTP application.
func (e *Engine) newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, IdleTimeout: idleTimeout})
	app.Use(echoAttempt)
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
	app.Get("/standin/stats", e.getStats)
	app.Get("/standin/contents", e.getContents)
	app.Get("/standin/faults", e.getFaults)
	app.Post("/standin/faults", e.postFaults)
	return app
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
	s, notify, f := e.start(r)
	if f != nil {
		return f.send(c)
	}
	return e.stream(c, s, notify, 0)
}

func (e *Engine) getStream(c fiber.Ctx) error {
	offset, err := strconv.Atoi(c.Query("offset", "0"))
	if err != nil {
		return failBadRequest.send(c)
	}
	s, notify, f := e.resume(tokenOf(c), offset)
	if f != nil {
		return f.send(c)
	}
	return e.stream(c, s, notify, offset)
}

func (e *Engine) deleteStream(c fiber.Ctx) error {
	return answer204(c, e.cancel(tokenOf(c)))
}

func (e *Engine) postPause(c fiber.Ctx) error {
	return answer204(c, e.pause(tokenOf(c)))
}

func (e *Engine) getKV(c fiber.Ctx) error {
	document, f := e.exportKV(tokenOf(c))
	if f != nil {
		return f.send(c)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(document)
}

func (e *Engine) putKV(c fiber.Ctx) error {
	return answer204(c, e.importKV(tokenOf(c), c.Body()))
}

func (e *Engine) getLoad(c fiber.Ctx) error {
	return c.JSON(e.load(time.Now()))
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
	return answer204(c, e.order(o))
}

func (e *Engine) getHealth(c fiber.Ctx) error {
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) getStats(c fiber.Ctx) error {
	return c.JSON(e.Stats())
}

func (e *Engine) getContents(c fiber.Ctx) error {
	return c.JSON(e.Contents())
}

func (e *Engine) getFaults(c fiber.Ctx) error {
	return c.JSON(e.faults.Get())
}

func (e *Engine) postFaults(c fiber.Ctx) error {
	f, err := wigeonfault.Parse(c.Body())
	if err != nil {
		return failBadRequest.send(c)
	}
	e.SetFaults(f)
	if f.Silence == wigeonfault.SilenceConnections {
		e.server.SilenceOpenConnections(c.RequestCtx().Conn())
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func answer204(c fiber.Ctx, f *failure) error {
	if f != nil {
		return f.send(c)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// tokenOf returns the header's attempt token, copied out of the request's buffer.
func tokenOf(c fiber.Ctx) wigeonshift.AttemptToken {
	return wigeonshift.AttemptToken(strings.Clone(c.Get(wigeonprotocol.HeaderAttempt)))
}
