// Package wigeonconfig implements the configuration document: its patches, checks, change log, snapshots and API keys.
package wigeonconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"wigeonshift"

	"github.com/samber/oops"
)

// Fault is one error in a patch or a configuration.
type Fault struct {
	// Path is the path in the document, such as products.loft.tiers.urgent.rank.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// InvalidError lists the faults of a patch or a configuration. It wraps wigeonshift.ErrInvalidConfiguration.
type InvalidError struct {
	// Faults is never empty and sorted by path.
	Faults []Fault
}

// Error returns all faults in one line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Path + ": " + f.Reason
	}
	return wigeonshift.ErrInvalidConfiguration.Error() + ": " + strings.Join(lines, "; ")
}

// Unwrap returns wigeonshift.ErrInvalidConfiguration.
func (e *InvalidError) Unwrap() error {
	return wigeonshift.ErrInvalidConfiguration
}

// invalidError returns an InvalidError with one fault.
func invalidError(path, format string, args ...any) error {
	return &InvalidError{Faults: []Fault{{Path: path, Reason: fmt.Sprintf(format, args...)}}}
}

// Encode returns a configuration as JSON.
func Encode(c *wigeonshift.Configuration) ([]byte, error) {
	document, err := json.Marshal(c)
	if err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	return document, nil
}

// Decode reads a configuration from JSON. Unknown keys are errors.
func Decode(document []byte) (*wigeonshift.Configuration, error) {
	c := &wigeonshift.Configuration{}
	if err := decodeStrict("", document, c); err != nil {
		return nil, err
	}
	return c, nil
}

// decodeStrict decodes JSON into v and rejects unknown fields. Its errors give the path in the document, below the given
// path.
func decodeStrict(path string, raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		return invalidError(joinPath(path, typeError.Field), "expected %s, got %s", typeName(typeError.Type.String()), typeError.Value)
	default:
		return invalidError(path, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

// typeName describes a Go type in the terms of the JSON document for operators.
func typeName(goType string) string {
	switch {
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "wigeonshift.TierRank"):
		return "a whole number"
	case strings.HasPrefix(goType, "float"):
		return "a number"
	case strings.HasPrefix(goType, "[]"):
		return "a list"
	case strings.HasPrefix(goType, "map"):
		return "an object"
	case goType == "bool":
		return "true or false"
	case goType == "string", goType == "wigeonshift.ServiceKind", goType == "wigeonshift.EndpointState":
		return "a string"
	default:
		return "an object"
	}
}

func joinPath(path, field string) string {
	switch {
	case path == "":
		return field
	case field == "":
		return path
	default:
		return path + "." + field
	}
}
