// Package wigeonsetting reads and validates the settings of a node. Each section of the settings file has a source file
// here.
package wigeonsetting

import (
	"errors"
	"os"

	"wigeonshift/internal/modules/wigeontoml"

	"github.com/samber/oops"
)

// ErrInvalid reports settings that can't be read or are invalid.
var ErrInvalid = errors.New("invalid settings")

// Settings holds all sections of the settings file of a node.
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

// Default returns the defaults for settings that the file doesn't set.
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

// Load reads and validates a settings file.
func Load(path string) (Settings, error) { return load(path, Default()) }

// Parse parses and validates settings; errors refer to the file by name.
func Parse(name string, text []byte) (Settings, error) { return parse(name, text, Default()) }

// load reads and validates a settings file; defaults holds the values of settings that the file doesn't set.
func load[T any](path string, defaults T) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, oops.In("settings").With("file", path).Wrap(errors.Join(ErrInvalid, err))
	}
	return parse(path, text, defaults)
}

// parse is like load for the contents of a file; settings holds the defaults.
func parse[T any](name string, text []byte, settings T) (T, error) {
	if err := wigeontoml.Decode(name, text, &settings); err != nil {
		var zero T
		return zero, errors.Join(ErrInvalid, err)
	}
	return settings, nil
}
