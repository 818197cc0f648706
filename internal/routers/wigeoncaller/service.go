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

// modelList is the response body of GET /v1/models.
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
	if s.entry.ReadyForCallers() && s.isReady() {
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

// discardSink discards streamed text; responses of plain services have none.
type discardSink struct{}

// Write discards its text.
func (discardSink) Write(context.Context, string) error { return nil }

// serviceCall forwards a call to a plain service.
func (s *Server) serviceCall(c fiber.Ctx) error {
	r, refused, err := s.newRequest(c)
	if refused {
		return err
	}
	// All values are copied because an abandoned request may still read them after the library has reused their memory.
	service, path := servicePath(strings.Clone(c.OriginalURL()))
	r.Call = &wigeonentry.Call{
		Service:     service,
		Method:      strings.Clone(c.Method()),
		Path:        path,
		ContentType: strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:        bytes.Clone(c.Body()),
	}
	result := s.runRequest(c, r, discardSink{})
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

// servicePath splits a request URL into the name of the service and the path to send to it.
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
