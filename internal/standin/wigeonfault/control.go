package wigeonfault

import "github.com/gofiber/fiber/v3"

// Control is the HTTP interface through which trials set the faults of a stand-in and read its counts.
type Control struct {
	Server *Server
	Faults *Injector
	// SetFaults replaces the active faults.
	SetFaults func(f Faults)
	// Stats returns the stand-in's counts.
	Stats func() any
	// Contents returns the number of executions of each content.
	Contents func() map[string]int
}

// Register adds the routes of the interface to an application.
func (k *Control) Register(app *fiber.App) {
	app.Get("/standin/stats", k.getStats)
	app.Get("/standin/contents", k.getContents)
	app.Get("/standin/faults", k.getFaults)
	app.Post("/standin/faults", k.postFaults)
}

func (k *Control) getStats(c fiber.Ctx) error { return c.JSON(k.Stats()) }

func (k *Control) getContents(c fiber.Ctx) error { return c.JSON(k.Contents()) }

func (k *Control) getFaults(c fiber.Ctx) error { return c.JSON(k.Faults.Get()) }

func (k *Control) postFaults(c fiber.Ctx) error {
	f, err := Parse(c.Body())
	if err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	k.SetFaults(f)
	if f.Silence == SilenceConnections {
		k.Server.SilenceOpenConnections(c.RequestCtx().Conn())
	}
	return c.SendStatus(fiber.StatusNoContent)
}
