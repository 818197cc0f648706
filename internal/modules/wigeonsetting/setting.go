// Package wigeonsetting reads and checks the settings of a node. Each section of the file has a file here.
package wigeonsetting

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// ErrInvalid reports settings that cannot be used.
var ErrInvalid = errors.New("invalid settings")

// Settings are everything a node learns from its file.
type Settings struct {
	Node     Node     `toml:"node"`
	Caller   Caller   `toml:"caller"`
	Peer     Peer     `toml:"peer"`
	Operator Operator `toml:"operator"`
	Platform Platform `toml:"platform"`
	Endpoint Endpoint `toml:"endpoint"`
	Drain    Drain    `toml:"drain"`
	Log      Log      `toml:"log"`
	Metrics  Metrics  `toml:"metrics"`
}

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

// Default returns the settings that apply where the file says nothing.
func Default() Settings {
	return Settings{
		Node:     defaultNode(),
		Caller:   defaultCaller(),
		Peer:     defaultPeer(),
		Operator: defaultOperator(),
		Platform: defaultPlatform(),
		Endpoint: defaultEndpoint(),
		Drain:    defaultDrain(),
		Log:      defaultLog(),
		Metrics:  defaultMetrics(),
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, oops.In("settings").With("file", path).Wrap(errors.Join(ErrInvalid, err))
	}
	return Parse(path, text)
}

// Parse reads and checks settings; name stands in its errors as the file's name.
func Parse(name string, text []byte) (Settings, error) {
	s := Default()
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, decodeError(name, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, checkError(name, text, err)
	}
	return s, nil
}

// check tests the ranges and requirements that stand in the fields' tags.
func (s *Settings) check() error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return int64(f.Interface().(Duration).Duration) }, Duration{})
	return v.Struct(s)
}
