package wigeonplatform

import (
	"bytes"
	"errors"
	"net/url"
	"strings"

	"wigeonshift"

	"github.com/gofiber/fiber/v3"
)

func (s *Server) registerRoutes() {
	a := s.app
	a.Get(PathRow, s.getRow)
	a.Get(PathRows, s.scanRows)
	a.Post(PathTransactions, s.commit)
	a.Get(PathObject, s.getObject)
	a.Put(PathObject, s.putObject)
	a.Delete(PathObject, s.deleteObject)
	a.Get(PathObjects, s.listObjects)
	a.Get(PathInstances, s.listInstances)
	a.Post(PathReservations, s.reserve)
	a.Get(PathStandinFaults, s.getFaults)
	a.Post(PathStandinFaults, s.setFaults)
	a.Put(PathStandinInstances+"/*", s.putInstance)
	a.Delete(PathStandinInstances+"/*", s.removeInstance)
	a.Get(PathStandinCounts, s.getCounts)
}

// handleError sends the status and reason that match an error. If the outcome is unknown, it closes the connection.
func handleError(c fiber.Ctx, err error) error {
	status, reason := fiber.StatusInternalServerError, ReasonOutcomeUnknown
	var fe *fiber.Error
	switch {
	case errors.Is(err, wigeonshift.ErrNotFound):
		status, reason = fiber.StatusNotFound, ReasonNotFound
	case errors.Is(err, wigeonshift.ErrConditionFailed):
		status, reason = fiber.StatusPreconditionFailed, ReasonConditionFailed
	case errors.Is(err, wigeonshift.ErrThrottled):
		status, reason = fiber.StatusTooManyRequests, ReasonThrottled
	case errors.Is(err, wigeonshift.ErrUnavailable):
		status, reason = fiber.StatusServiceUnavailable, ReasonUnavailable
	case errors.Is(err, errBadRequest):
		status, reason = fiber.StatusBadRequest, ReasonBadRequest
	case errors.Is(err, wigeonshift.ErrOutcomeUnknown):
		return dropConnection(c)
	case errors.As(err, &fe):
		status, reason = fe.Code, ReasonBadRequest
	}
	return c.Status(status).JSON(ErrorBody{Reason: reason, Message: err.Error()})
}

// dropConnection closes the connection without a response, which a client can't tell from a lost response.
func dropConnection(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}

func (s *Server) getRow(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	row, err := s.core.Get(ctx, c.Query("key"))
	if err != nil {
		return err
	}
	return c.JSON(row)
}

func (s *Server) scanRows(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	limit := fiber.Query(c, "limit", MaxListLength)
	rows, err := s.core.Scan(ctx, c.Query("prefix"), c.Query("after"), limit)
	if err != nil {
		return err
	}
	return c.JSON(RowsBody{Rows: rows})
}

func (s *Server) commit(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	var tx wigeonshift.Transaction
	if err := c.Bind().JSON(&tx); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	revisions, err := s.core.Commit(ctx, tx)
	if err != nil {
		return err
	}
	return c.JSON(CommitBody{Revisions: revisions})
}

func (s *Server) getObject(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	value, err := s.core.GetObject(ctx, c.Query("key"))
	if err != nil {
		return err
	}
	return c.Send(value)
}

func (s *Server) putObject(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	return s.core.PutObject(ctx, strings.Clone(c.Query("key")), bytes.Clone(c.Body()))
}

func (s *Server) deleteObject(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	return s.core.DeleteObject(ctx, c.Query("key"))
}

func (s *Server) listObjects(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	keys, err := s.core.ListObjects(ctx, c.Query("prefix"), c.Query("after"), fiber.Query(c, "limit", MaxListLength))
	if err != nil {
		return err
	}
	return c.JSON(KeysBody{Keys: keys})
}

func (s *Server) listInstances(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	list, err := s.core.Instances(ctx)
	if err != nil {
		return err
	}
	return c.JSON(InstancesBody{Instances: list})
}

func (s *Server) reserve(c fiber.Ctx) error {
	ctx, cancel := s.newCallContext()
	defer cancel()
	var body ReservationBody
	if err := c.Bind().JSON(&body); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	wait, err := s.core.Reserve(ctx, body.Model)
	if err != nil {
		return err
	}
	return c.JSON(ReservationResponse{WaitMS: wait.Milliseconds()})
}

func (s *Server) getFaults(c fiber.Ctx) error {
	return c.JSON(s.core.Faults())
}

func (s *Server) setFaults(c fiber.Ctx) error {
	var f Faults
	if err := c.Bind().JSON(&f); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.core.SetFaults(f)
	return c.JSON(f)
}

func (s *Server) putInstance(c fiber.Ctx) error {
	var i wigeonshift.Instance
	if err := c.Bind().JSON(&i); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	id, err := url.PathUnescape(c.Params("*"))
	if err != nil || i.ID != id || i.Address == "" {
		return fiber.NewError(fiber.StatusBadRequest, "id and address must be set, and the id must match the path")
	}
	s.core.PutInstance(i)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) removeInstance(c fiber.Ctx) error {
	id, err := url.PathUnescape(c.Params("*"))
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.core.RemoveInstance(id)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) getCounts(c fiber.Ctx) error {
	return c.JSON(s.core.Counts())
}
