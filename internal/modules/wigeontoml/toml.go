// Package wigeontoml reads TOML files strictly: every fault is reported with its key and place.
package wigeontoml

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
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
	case "hostname_port":
		return fmt.Sprintf("%q is not an IP number with a port", f.Value())
	case "gtefield":
		return fmt.Sprintf("%v is below %s", f.Value(), f.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}

// places are the lines of a document's keys and tables. Elements of arrays of tables have their index in brackets.
type places map[string]int

// of returns the line of a key, or of the nearest table around it, as ":line"; empty when the file has neither.
func (p places) of(key string) string {
	for key != "" {
		if line, ok := p[key]; ok {
			return ":" + strconv.Itoa(line)
		}
		key = key[:max(0, strings.LastIndex(key, "."))]
	}
	return ""
}

func keyLines(text []byte) places {
	lines := places{}
	counts := map[string]int{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		key, line := joinKey(&parser, e.Key())
		switch e.Kind {
		case unstable.ArrayTable:
			plain := withIndices(key, counts)
			table = fmt.Sprintf("%s[%d]", plain, counts[plain])
			counts[plain]++
			lines[table] = line
		case unstable.Table:
			table = withIndices(key, counts)
			lines[table] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+key, ".")] = line
		default:
		}
	}
	return lines
}

// withIndices puts the index of the newest element behind each array of tables in a table's name, but for the last.
func withIndices(key string, counts map[string]int) string {
	parts := strings.Split(key, ".")
	path := parts[0]
	for _, part := range parts[1:] {
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path += "." + part
	}
	return path
}

// joinKey writes a key's parts with dots between and returns the line of the first.
func joinKey(parser *unstable.Parser, it unstable.Iterator) (key string, line int) {
	var parts []string
	for it.Next() {
		if line == 0 {
			line = parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}
