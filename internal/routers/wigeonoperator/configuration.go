package wigeonoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/gofiber/fiber/v3"
)

func newCallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// show sends the current configuration of this instance, or the newest one in the store with ?newest=true.
func (s *Server) show(c fiber.Ctx) error {
	if fiber.Query[bool](c, "newest") {
		ctx, cancel := newCallContext()
		defer cancel()
		newest, err := s.repository.Load(ctx)
		if err != nil {
			return err
		}
		return c.JSON(newest)
	}
	current := s.instance.Current()
	if current == nil {
		return newRefusal(fiber.StatusServiceUnavailable, ReasonNotReady, "no configuration is in force yet")
	}
	return c.JSON(current)
}

func (s *Server) changes(c fiber.Ctx) error {
	after, err := parseVersion(c.Query("after", "0"))
	if err != nil {
		return err
	}
	limit := fiber.Query(c, "limit", wigeonconfig.MaxChangesPage)
	if limit < 1 {
		return newRefusal(fiber.StatusBadRequest, ReasonBadRequest, "limit must be positive")
	}
	ctx, cancel := newCallContext()
	defer cancel()
	changes, err := s.repository.Changes(ctx, after, min(limit, wigeonconfig.MaxChangesPage))
	if err != nil {
		return err
	}
	return c.JSON(ChangesBody{Changes: changeBodies(changes)})
}

func (s *Server) diff(c fiber.Ctx) error {
	from, err := parseVersion(c.Query("from"))
	if err != nil {
		return err
	}
	to, err := parseVersion(c.Query("to"))
	if err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	patch, err := s.repository.DiffVersions(ctx, from, to)
	if err != nil {
		return err
	}
	return sendJSON(c, patch)
}

func (s *Server) snapshot(c fiber.Ctx) error {
	v, err := parseVersion(c.Params("version"))
	if err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	configuration, err := s.repository.LoadVersion(ctx, v)
	if err != nil {
		return err
	}
	return c.JSON(configuration)
}

func (s *Server) patch(c fiber.Ctx) error {
	var body PatchBody
	if err := readBody(c, &body); err != nil {
		return err
	}
	if len(body.Patch) == 0 {
		return newRefusal(fiber.StatusBadRequest, ReasonBadRequest, "patch is missing")
	}
	p := wigeonconfig.Patch{ID: body.PatchID, Base: body.Base, Author: author(c), Document: body.Patch}
	ctx, cancel := newCallContext()
	defer cancel()
	if body.DryRun {
		next, err := s.repository.Preview(ctx, p)
		if err != nil {
			return err
		}
		return c.JSON(AcceptedBody{Version: next.Version, DryRun: true})
	}
	ch, next, err := s.repository.Submit(ctx, p)
	return s.respondAccepted(c, ch, next, err)
}

func (s *Server) rollback(c fiber.Ctx) error {
	var body RollbackBody
	if err := readBody(c, &body); err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	p := wigeonconfig.Patch{ID: body.PatchID, Base: body.Base, Author: author(c)}
	ch, next, err := s.repository.Rollback(ctx, p, body.Target)
	return s.respondAccepted(c, ch, next, err)
}

// respondAccepted applies an accepted change on this instance and sends it as the response.
func (s *Server) respondAccepted(c fiber.Ctx, ch wigeonshift.Change, next *wigeonshift.Configuration, err error) error {
	if err != nil {
		return err
	}
	s.instance.Accept(ch, next)
	s.log.WithFields(map[string]any{"version": ch.Version, "author": ch.Author, "patchId": ch.PatchID}).Info("patch accepted")
	body := changeBody(ch)
	return c.JSON(AcceptedBody{Version: ch.Version, Change: &body})
}

func (s *Server) status(c fiber.Ctx) error {
	ctx, cancel := newCallContext()
	defer cancel()
	return c.JSON(s.instance.Status(ctx))
}

func (s *Server) versions(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), versionsTimeout)
	defer cancel()
	response := VersionsBody{Versions: []VersionBody{}}
	for _, v := range s.instance.Versions(ctx) {
		response.Versions = append(response.Versions, VersionBody{Instance: v.Instance, Version: v.Version, LagMS: v.Lag.Milliseconds()})
	}
	return c.JSON(response)
}

func parseVersion(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newRefusal(fiber.StatusBadRequest, ReasonBadRequest, "version must be a whole number, not "+strconv.Quote(text))
	}
	return v, nil
}

// readBody decodes a JSON body and rejects unknown fields. The decoded values do not refer to the buffers of the request.
func readBody(c fiber.Ctx, v any) error {
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return newRefusal(fiber.StatusBadRequest, ReasonBadRequest, err.Error())
	}
	return nil
}

func sendJSON(c fiber.Ctx, document []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(document)
}
