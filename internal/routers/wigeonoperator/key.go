package wigeonoperator

import (
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/gofiber/fiber/v3"
)

// Role tells what an operator may do.
type Role string

// Roles of operators. An editor may do what a viewer may.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Key is one operator's credential. The operator presents its name and secret, joined by a dot.
type Key struct {
	// Name is unique and stands as the author in the change log.
	Name   string
	Role   Role
	Stored wigeonshift.APIKey
}

// nameKey is the key of the operator's name in a call's locals.
type nameKey struct{}

// allow runs a handler for operators that have a role.
func (s *Server) allow(needed Role, h fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		bearer, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
		name, secret, _ := strings.Cut(bearer, ".")
		k, known := s.keys[name]
		if !ok || !known || !wigeonconfig.VerifyAPIKey(k.Stored, secret, time.Now()) {
			return refuse(fiber.StatusUnauthorized, ReasonUnauthenticated, "an operator key is needed: Authorization: Bearer name.secret")
		}
		if needed == RoleEditor && k.Role != RoleEditor {
			return refuse(fiber.StatusForbidden, ReasonForbidden, "the key's role must be editor")
		}
		c.Locals(nameKey{}, k.Name)
		return h(c)
	}
}

// author returns the name of the operator of a call.
func author(c fiber.Ctx) string {
	return fiber.Locals[string](c, nameKey{})
}
