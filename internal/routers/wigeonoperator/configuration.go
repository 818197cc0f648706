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

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// show answers the configuration in force on this instance, or the store's newest with ?newest=true.
func (s *Server) show(c fiber.Ctx) error {
	if fiber.Query[bool](c, "newest") {
		ctx, cancel := callContext()
		defer cancel()
		newest, err := s.repository.Load(ctx)
		if err != nil {
			return err
		}
		return c.JSON(newest)
	}
	current := s.instance.Current()
	if current == nil {
		return refuse(fiber.StatusServiceUnavailable, ReasonNotReady, "no configuration is in force yet")
	}
	return c.JSON(current)
}

func (s *Server) changes(c fiber.Ctx) error {
	after, err := version(c.Query("after", "0"))
	if err != nil {
		return err
	}
	limit := fiber.Query(c, "limit", wigeonconfig.MaxHistory)
	if limit < 1 {
		return refuse(fiber.StatusBadRequest, ReasonBadRequest, "limit must be positive")
	}
	ctx, cancel := callContext()
	defer cancel()
	changes, err := s.repository.Changes(ctx, after, min(limit, wigeonconfig.MaxHistory))
	if err != nil {
		return err
	}
	return c.JSON(ChangesBody{Changes: changeBodies(changes)})
}

func (s *Server) diff(c fiber.Ctx) error {
	from, err := version(c.Query("from"))
	if err != nil {
		return err
	}
	to, err := version(c.Query("to"))
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	patch, err := s.repository.DiffVersions(ctx, from, to)
	if err != nil {
		return err
	}
	return sendJSON(c, patch)
}

func (s *Server) snapshot(c fiber.Ctx) error {
	v, err := version(c.Params("version"))
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	old, err := s.repository.LoadVersion(ctx, v)
	if err != nil {
		return err
	}
	return c.JSON(old)
}

func (s *Server) patch(c fiber.Ctx) error {
	var body PatchBody
	if err := readBody(c, &body); err != nil {
		return err
	}
	if len(body.Patch) == 0 {
		return refuse(fiber.StatusBadRequest, ReasonBadRequest, "patch is missing")
	}
	p := wigeonconfig.Patch{ID: body.PatchID, Base: body.Base, Author: author(c), Document: body.Patch}
	ctx, cancel := callContext()
	defer cancel()
	if body.DryRun {
		next, err := s.repository.Preview(ctx, p)
		if err != nil {
			return err
		}
		return c.JSON(AcceptedBody{Version: next.Version, DryRun: true})
	}
	ch, next, err := s.repository.Submit(ctx, p)
	return s.accepted(c, ch, next, err)
}

func (s *Server) rollback(c fiber.Ctx) error {
	var body RollbackBody
	if err := readBody(c, &body); err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	p := wigeonconfig.Patch{ID: body.PatchID, Base: body.Base, Author: author(c)}
	ch, next, err := s.repository.Rollback(ctx, p, body.Target)
	return s.accepted(c, ch, next, err)
}

// accepted brings an accepted change into force here and answers it.
func (s *Server) accepted(c fiber.Ctx, ch wigeonshift.Change, next *wigeonshift.Configuration, err error) error {
	if err != nil {
		return err
	}
	s.instance.Accept(ch, next)
	s.log.WithFields(map[string]any{"version": ch.Version, "author": ch.Author, "patchId": ch.PatchID}).Info("patch accepted")
	body := changeBody(ch)
	return c.JSON(AcceptedBody{Version: ch.Version, Change: &body})
}

func (s *Server) status(c fiber.Ctx) error {
	ctx, cancel := callContext()
	defer cancel()
	return c.JSON(s.instance.Status(ctx))
}

func (s *Server) versions(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	answer := VersionsBody{Versions: []VersionBody{}}
	for _, v := range s.instance.Versions(ctx) {
		answer.Versions = append(answer.Versions, VersionBody{Instance: v.Instance, Version: v.Version, LagMS: v.Lag.Milliseconds()})
	}
	return c.JSON(answer)
}

func version(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse(fiber.StatusBadRequest, ReasonBadRequest, "a version is a whole number, not "+strconv.Quote(text))
	}
	return v, nil
}

// readBody decodes a body strictly. The values don't refer to the call's buffers.
func readBody(c fiber.Ctx, v any) error {
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return refuse(fiber.StatusBadRequest, ReasonBadRequest, err.Error())
	}
	return nil
}

func sendJSON(c fiber.Ctx, document []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(document)
}
