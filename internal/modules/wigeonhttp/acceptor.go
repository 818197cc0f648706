// Package wigeonhttp holds what the HTTP interfaces of a node have in common.
package wigeonhttp

import (
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
)

// Acceptor serves an application on a listener.
type Acceptor struct {
	// Name is the name of the application in the log.
	Name     string
	App      *fiber.App
	Log      logrus.FieldLogger
	Listener net.Listener
}

// Run serves until the application is shut down. It logs why serving failed, if it did.
func (a *Acceptor) Run() {
	if err := a.App.Listener(a.Listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		a.Log.WithError(err).Error(a.Name + " server failed")
	}
}
