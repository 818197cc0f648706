package wigeoncaller

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/gofiber/fiber/v3"
)

const servicesPrefix = "/v1/services/"

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) health(c fiber.Ctx) error { return c.SendString("ok\n") }

func (s *Server) ready(c fiber.Ctx) error {
	if s.entry.ReadyForCallers() && s.readiness() {
		return c.SendString("ready\n")
	}
	return c.Status(fiber.StatusServiceUnavailable).SendString(string(wigeonshift.ReasonNotReady) + "\n")
}

func (s *Server) models(c fiber.Ctx) error {
	r, refused, err := s.newRequest(c)
	if refused {
		return err
	}
	models := s.entry.Models(r.Product)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: models[name]})
	}
	return c.JSON(list)
}

// noSink is for answers without pieces.
type noSink struct{}

// Write takes nothing.
func (noSink) Write(context.Context, string) error { return nil }

// serviceCall passes one call to a plain service.
func (s *Server) serviceCall(c fiber.Ctx) error {
	r, refused, err := s.newRequest(c)
	if refused {
		return err
	}
	// Everything is copied: an abandoned run may still read the call after the library has reused its memory.
	service, path := servicePath(strings.Clone(c.OriginalURL()))
	r.Call = &wigeonentry.Call{
		Service:     service,
		Method:      strings.Clone(c.Method()),
		Path:        path,
		ContentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:        bytes.Clone(c.Body()),
	}
	result := s.do(c, r, noSink{})
	if result.Refusal != nil {
		message := ""
		if result.Refusal.Reason == wigeonshift.ReasonBadRequest {
			message = headerIdempotencyKey + ": required for this method"
		}
		return s.refuse(c, result, message)
	}
	c.Set(headerRequestID, string(result.ID))
	if result.Replayed {
		c.Set(headerReplayed, "true")
	}
	c.Set(fiber.HeaderContentType, result.Answer.ContentType)
	return c.Status(result.Answer.Status).Send(result.Answer.Body)
}

// servicePath splits a request's URL into the service and the path that it is to see.
func servicePath(url string) (service, path string) {
	_, rest, _ := strings.Cut(url, servicesPrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, "/"
	}
	service, path = rest[:end], rest[end:]
	if path[0] == '?' {
		path = "/" + path
	}
	return service, path
}
