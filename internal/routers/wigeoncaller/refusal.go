package wigeoncaller

import (
	"errors"
	"strconv"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/gofiber/fiber/v3"
)

// Headers of the caller API.
const (
	headerRequestID      = "Wigeon-Request-Id"
	headerTier           = "Wigeon-Tier"
	headerDeadline       = "Wigeon-Deadline-Ms"
	headerReplayed       = "Wigeon-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// statusClientClosedRequest is the status of requests whose caller has disconnected. No caller receives it.
const statusClientClosedRequest = 499

// refusalText is the HTTP status and the message for a refusal reason.
type refusalText struct {
	status  int
	message string
}

var refusalTexts = map[wigeonshift.RefusalReason]refusalText{
	wigeonshift.ReasonBadRequest:          {fiber.StatusBadRequest, "the request is malformed"},
	wigeonshift.ReasonUnauthenticated:     {fiber.StatusUnauthorized, "a valid API key is required"},
	wigeonshift.ReasonForbiddenTier:       {fiber.StatusForbidden, "the organisation may not use this tier"},
	wigeonshift.ReasonUnknownModel:        {fiber.StatusNotFound, "no such model"},
	wigeonshift.ReasonUnknownService:      {fiber.StatusNotFound, "no such service or path"},
	wigeonshift.ReasonAlreadyClaimed:      {fiber.StatusConflict, "a request with this idempotency key was dispatched and its outcome is not recorded"},
	wigeonshift.ReasonTooLarge:            {fiber.StatusRequestEntityTooLarge, "the request is too large"},
	wigeonshift.ReasonKeyReused:           {fiber.StatusUnprocessableEntity, "the idempotency key was used for another request"},
	wigeonshift.ReasonQuarantined:         {fiber.StatusUnprocessableEntity, "endpoints crashed while they ran this request"},
	wigeonshift.ReasonOrganisationLimit:   {fiber.StatusTooManyRequests, "the organisation is at its limit"},
	wigeonshift.ReasonTooManyRequests:     {fiber.StatusTooManyRequests, "too many concurrent requests"},
	wigeonshift.ReasonCallerGone:          {statusClientClosedRequest, "the caller has disconnected"},
	wigeonshift.ReasonEndpointLost:        {fiber.StatusBadGateway, "the connection to the endpoint was lost during the request"},
	wigeonshift.ReasonEndpointError:       {fiber.StatusBadGateway, "the endpoint failed"},
	wigeonshift.ReasonOutcomeUnknown:      {fiber.StatusBadGateway, "the outcome is unknown"},
	wigeonshift.ReasonQueueFull:           {fiber.StatusServiceUnavailable, "the queue is full"},
	wigeonshift.ReasonPreempted:           {fiber.StatusServiceUnavailable, "the request was preempted by a higher tier"},
	wigeonshift.ReasonNoEndpoint:          {fiber.StatusServiceUnavailable, "no endpoint can run the request"},
	wigeonshift.ReasonNoOwner:             {fiber.StatusServiceUnavailable, "no instance schedules this service at the moment"},
	wigeonshift.ReasonRetryBudget:         {fiber.StatusServiceUnavailable, "several endpoints did not start the request"},
	wigeonshift.ReasonStoreUnavailable:    {fiber.StatusServiceUnavailable, "the idempotency key cannot be recorded at the moment"},
	wigeonshift.ReasonShuttingDown:        {fiber.StatusServiceUnavailable, "this instance is shutting down"},
	wigeonshift.ReasonNotReady:            {fiber.StatusServiceUnavailable, "this instance is not ready"},
	wigeonshift.ReasonDeadlineUnreachable: {fiber.StatusGatewayTimeout, "the deadline cannot be met"},
	wigeonshift.ReasonDeadlinePassed:      {fiber.StatusGatewayTimeout, "the deadline has passed"},
}

// refusalTextFor returns the status and the message for a reason.
func refusalTextFor(reason wigeonshift.RefusalReason) refusalText {
	if t, ok := refusalTexts[reason]; ok {
		return t
	}
	return refusalText{fiber.StatusInternalServerError, string(reason)}
}

// appendRefusal appends a refusal as JSON. If the message is empty, it uses the default message of the reason.
func appendRefusal(b []byte, id wigeonshift.RequestID, r wigeonshift.Refusal, message string) []byte {
	if message == "" {
		message = refusalTextFor(r.Reason).message
	}
	b = append(b, `{"error":{"reason":`...)
	b = appendString(b, string(r.Reason))
	b = append(b, `,"state":`...)
	b = appendString(b, string(r.State))
	b = append(b, `,"retryAfterMs":`...)
	b = strconv.AppendInt(b, r.RetryAfter.Milliseconds(), 10)
	b = append(b, `,"message":`...)
	b = appendString(b, message)
	b = append(b, `,"requestId":`...)
	b = appendString(b, string(id))
	return append(b, "}}"...)
}

// refuse sends a refusal as the response.
func (s *Server) refuse(c fiber.Ctx, result wigeonentry.Result, message string) error {
	r := *result.Refusal
	c.Set(headerRequestID, string(result.ID))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	if r.Reason == wigeonshift.ReasonShuttingDown {
		c.Set(fiber.HeaderConnection, "close")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(refusalTextFor(r.Reason).status).Send(appendRefusal(nil, result.ID, r, message))
}

// handleError sends a refusal for a request that the HTTP library could not accept.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	reason, status := wigeonshift.ReasonBadRequest, fiber.StatusBadRequest
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	switch status {
	case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
		reason = wigeonshift.ReasonTooLarge
	case fiber.StatusNotFound:
		reason = wigeonshift.ReasonUnknownService
	}
	if err := s.refuse(c, s.entry.Refuse(reason), err.Error()); err != nil {
		return err
	}
	c.Status(status)
	return nil
}

func (s *Server) notFound(c fiber.Ctx) error {
	return s.refuse(c, s.entry.Refuse(wigeonshift.ReasonUnknownService), "")
}
