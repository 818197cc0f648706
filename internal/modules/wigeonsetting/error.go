package wigeonsetting

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

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
	return fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
}

// placeError formats one fault with its place.
func placeError(name string, err *toml.DecodeError, what string) error {
	row, column := err.Position()
	key := strings.Join(err.Key(), ".")
	return fmt.Errorf("%w: %s:%d:%d: %s: %s", ErrInvalid, name, row, column, key, what)
}

// checkError names the key, its line where the file sets it, and the rule that it breaks.
func checkError(name string, text []byte, err error) error {
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	lines := keyLines(text)
	faults := make([]error, 0, len(broken))
	for _, f := range broken {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		place := name
		if line, ok := lines[key]; ok {
			place = fmt.Sprintf("%s:%d", name, line)
		}
		faults = append(faults, fmt.Errorf("%w: %s: %s: %s", ErrInvalid, place, key, ruleText(f)))
	}
	return errors.Join(faults...)
}

// ruleText describes a broken rule.
func ruleText(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "must be set"
	case "min", "gte":
		return fmt.Sprintf("%v is below the smallest value %s", f.Value(), f.Param())
	case "max", "lte":
		return fmt.Sprintf("%v is above the largest value %s", f.Value(), f.Param())
	case "oneof":
		return fmt.Sprintf("%q is none of %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "hostname_port", "ip_port":
		return fmt.Sprintf("%q is not an IP number with a port", f.Value())
	case "required_with":
		return "must be set together with " + f.Param()
	default:
		return fmt.Sprintf("%v breaks the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}

// keyLines returns the line of each key that the file sets.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = joinKey(e.Key()) + "."
		case unstable.KeyValue:
			it := e.Key()
			if !it.Next() {
				continue
			}
			line := parser.Shape(it.Node().Raw).Start.Line
			lines[table+joinKey(e.Key())] = line
		default:
		}
	}
	return lines
}

// joinKey writes a key's parts with dots between.
func joinKey(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}
