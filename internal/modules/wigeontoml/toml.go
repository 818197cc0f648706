// Package wigeontoml decodes TOML files strictly and reports every error with its key and position.
package wigeontoml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Decode decodes a document into a struct with toml and validate tags. Unknown keys and violated validation rules are
// errors. Errors refer to the file by name.
func Decode(name string, text []byte, into any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(name, err)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return int64(f.Interface().(Duration).Duration) }, Duration{})
	var violations validator.ValidationErrors
	err := v.Struct(into)
	if !errors.As(err, &violations) {
		return err
	}
	lines := keyLines(text)
	errs := make([]error, 0, len(violations))
	for _, f := range violations {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		errs = append(errs, fmt.Errorf("%s%s: %s: %s", name, lines.suffix(key), key, violationText(f)))
	}
	return errors.Join(errs...)
}

// decodeError adds the file name, key and position to a syntax error, a type error or an unknown key error.
func decodeError(name string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		errs := make([]error, 0, len(unknownKeys.Errors))
		for i := range unknownKeys.Errors {
			errs = append(errs, positionError(name, &unknownKeys.Errors[i], "unknown key"))
		}
		return errors.Join(errs...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return positionError(name, decodeErr, decodeErr.Error())
	}
	return fmt.Errorf("%s: %w", name, err)
}

// positionError returns an error with the file name, the position and the key of err.
func positionError(name string, err *toml.DecodeError, message string) error {
	row, column := err.Position()
	return fmt.Errorf("%s:%d:%d: %s: %s", name, row, column, strings.Join(err.Key(), "."), message)
}

// violationText describes a violated validation rule.
func violationText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if", "required_with":
		return "must be set"
	case "min", "gte":
		return fmt.Sprintf("%v is below the minimum %s", f.Value(), f.Param())
	case "max", "lte":
		return fmt.Sprintf("%v is above the maximum %s", f.Value(), f.Param())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "hostname_port", "ip_port":
		return fmt.Sprintf("%q is not an IP address with a port", f.Value())
	case "gtefield":
		return fmt.Sprintf("%v is below %s", f.Value(), f.Param())
	default:
		return fmt.Sprintf("%v violates the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}
