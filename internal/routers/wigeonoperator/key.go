package wigeonoperator

import (
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/gofiber/fiber/v3"
)

// Role defines what an operator may do.
type Role string

// Roles of operators. An editor may do everything that a viewer may do.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Key is the credential of an operator. The operator sends its name and secret, joined by a dot.
type Key struct {
	// Name is unique and appears as the author in the change log.
	Name   string
	Role   Role
	Stored wigeonshift.APIKey
}

// operatorNameKey is the key of the operator's name in the locals of a request.
type operatorNameKey struct{}

// requireRole returns a handler that authenticates the operator and runs h if the operator has the needed role.
func (s *Server) requireRole(needed Role, h fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		bearer, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
		name, secret, _ := strings.Cut(bearer, ".")
		k, known := s.keys[name]
		if !ok || !known || !wigeonconfig.VerifyAPIKey(k.Stored, secret, time.Now()) {
			return newRefusal(fiber.StatusUnauthorized, ReasonUnauthenticated, "an operator key is needed: Authorization: Bearer name.secret")
		}
		if needed == RoleEditor && k.Role != RoleEditor {
			return newRefusal(fiber.StatusForbidden, ReasonForbidden, "the key's role must be editor")
		}
		c.Locals(operatorNameKey{}, k.Name)
		return h(c)
	}
}

// author returns the name of the operator that sent a request.
func author(c fiber.Ctx) string {
	return fiber.Locals[string](c, operatorNameKey{})
}
