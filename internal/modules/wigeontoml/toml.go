// Package wigeontoml reads TOML files strictly: every fault is reported with its key and place.
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

// Duration is a time.Duration that reads texts such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Decode reads a document into a struct with toml and validate tags. Unknown keys and broken rules are errors; name
// stands in them as the file's name.
func Decode(name string, text []byte, into any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(name, err)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return int64(f.Interface().(Duration).Duration) }, Duration{})
	var broken validator.ValidationErrors
	err := v.Struct(into)
	if !errors.As(err, &broken) {
		return err
	}
	lines := keyLines(text)
	faults := make([]error, 0, len(broken))
	for _, f := range broken {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		faults = append(faults, fmt.Errorf("%s%s: %s: %s", name, lines.of(key), key, ruleText(f)))
	}
	return errors.Join(faults...)
}

// decodeError names the key and place of a syntax error, a wrong type or unknown keys.
func decodeError(name string, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		faults := make([]error, 0, len(missing.Errors))
		for i := range missing.Errors {
			faults = append(faults, placeError(name, &missing.Errors[i], "unknown key"))
		}
		return errors.Join(faults...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return placeError(name, wrong, wrong.Error())
	}
	return fmt.Errorf("%s: %w", name, err)
}

// placeError formats one fault with its place.
func placeError(name string, err *toml.DecodeError, what string) error {
	row, column := err.Position()
	return fmt.Errorf("%s:%d:%d: %s: %s", name, row, column, strings.Join(err.Key(), "."), what)
}

// ruleText describes a broken rule.
func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if", "required_with":
		return "must be set"
	case "min", "gte":
		return fmt.Sprintf("%v is below the smallest value %s", f.Value(), f.Param())
	case "max", "lte":
		return fmt.Sprintf("%v is above the largest value %s", f.Value(), f.Param())
	case "oneof":
		return fmt.Sprintf("%q is none of %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "hostname_port", "ip_port":
		return fmt.Sprintf("%q is not an IP number with a port", f.Value())
	case "gtefield":
		return fmt.Sprintf("%v is below %s", f.Value(), f.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}
