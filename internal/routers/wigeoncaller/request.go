package wigeoncaller

import (
	"strconv"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/gofiber/fiber/v3"
)

const (
	bearerPrefix           = "Bearer "
	maxDeadlineMS          = 3_600_000
	maxIdempotencyKeyBytes = 255
)

// newRequest authenticates the caller and reads the headers common to all requests. If refused is true, the response has
// already been written.
func (s *Server) newRequest(c fiber.Ctx) (r wigeonentry.Request, refused bool, err error) {
	if !s.entry.ReadyForCallers() {
		reason := wigeonshift.ReasonNotReady
		if s.entry.Draining() {
			reason = wigeonshift.ReasonShuttingDown
		}
		return r, true, s.refuse(c, s.entry.Refuse(reason), "")
	}
	bearer, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok {
		return r, true, s.refuse(c, s.entry.Refuse(wigeonshift.ReasonUnauthenticated), "")
	}
	r.Product, r.Organisation, err = s.authenticate(c.Context(), bearer)
	if err != nil {
		return r, true, s.refuse(c, s.entry.Refuse(wigeonshift.ReasonUnauthenticated), "")
	}
	// Headers are copied because the library reuses their memory after the request.
	r.Tier = strings.Clone(c.Get(headerTier))
	r.IdempotencyKey = strings.Clone(c.Get(headerIdempotencyKey))
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return r, true, s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), headerIdempotencyKey+": longer than 255 bytes")
	}
	if text := c.Get(headerDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 || ms > maxDeadlineMS {
			return r, true, s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), headerDeadline+": must be 1 to 3600000")
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
	}
	return r, false, nil
}
