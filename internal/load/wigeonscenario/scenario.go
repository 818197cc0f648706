// Package wigeonscenario describes load: who calls, how often, and with what. Everything drawn from a scenario
// follows from its seed.
package wigeonscenario

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// ErrInvalid reports a scenario that can't be used.
var ErrInvalid = errors.New("invalid scenario")

// Scenario is one load.
type Scenario struct {
	Name string `toml:"name" validate:"required"`
	Seed uint64 `toml:"seed"`
	// Duration is the time in which requests are sent; those in flight then are waited for.
	Duration wigeontoml.Duration `toml:"duration" validate:"min=1000000"`
	// Nodes are the addresses of the callers' API, used in turn.
	Nodes []string `toml:"nodes" validate:"dive,hostname_port"`
	// Engines and Plains are the stand-ins whose counts are read before and after.
	Engines []string `toml:"engines" validate:"dive,hostname_port"`
	Plains  []string `toml:"plains" validate:"dive,hostname_port"`
	Classes []Class  `toml:"classes" validate:"min=1,dive"`
}

// Kind is a kind of requests.
type Kind string

// Kinds of requests.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindCall       Kind = "call"
)

// Class is one stream of like requests of one organisation.
type Class struct {
	Name         string `toml:"name" validate:"required"`
	Organisation string `toml:"organisation" validate:"required"`
	// APIKey is what the caller presents.
	APIKey string `toml:"apiKey" validate:"required"`
	Tier   string `toml:"tier" validate:"required"`
	Kind   Kind   `toml:"kind" validate:"oneof=completion chat call"`
	Model  string `toml:"model" validate:"required_unless=Kind call"`
	// Stream asks for server-sent events.
	Stream   bool                `toml:"stream"`
	Deadline wigeontoml.Duration `toml:"deadline" validate:"min=1000000"`
	// Resends is the number of times that a failed request is sent again.
	Resends int     `toml:"resends" validate:"min=0,max=100"`
	Arrival Arrival `toml:"arrival"`
	// Prompt and Answer are lengths in tokens.
	Prompt Lengths `toml:"prompt"`
	Answer Lengths `toml:"answer"`
	Shared Shared  `toml:"shared"`
	Call   Call    `toml:"call"`
}

// Process is a kind of arrival process.
type Process string

// Arrival processes.
const (
	// ProcessOpen sends at random times, whatever the answers do.
	ProcessOpen Process = "open"
	// ProcessClosed sends the next request when an answer came.
	ProcessClosed Process = "closed"
)

// Arrival says when requests are sent.
type Arrival struct {
	Process Process `toml:"process" validate:"oneof=open closed"`
	// Rate is the mean number of requests a second of an open process, outside bursts.
	Rate float64 `toml:"rate" validate:"min=0,max=100000"`
	// BurstFactor multiplies the rate during a burst; 0 means no bursts.
	BurstFactor float64             `toml:"burstFactor" validate:"min=0,max=1000"`
	BurstEvery  wigeontoml.Duration `toml:"burstEvery" validate:"min=0"`
	BurstLength wigeontoml.Duration `toml:"burstLength" validate:"min=0"`
	// Callers is the number of callers of a closed process.
	Callers int `toml:"callers" validate:"min=0,max=10000"`
	// Think is the mean pause of a closed process's caller.
	Think wigeontoml.Duration `toml:"think" validate:"min=0"`
}

// Lengths is a distribution of lengths: even over the logarithm from Min to Max.
type Lengths struct {
	Min int `toml:"min" validate:"min=0,max=1000000"`
	Max int `toml:"max" validate:"gtefield=Min,max=1000000"`
}

// Shared describes prompt prefixes that requests have in common.
type Shared struct {
	// Prefixes is the number of different prefixes; 0 means none.
	Prefixes int `toml:"prefixes" validate:"min=0,max=10000"`
	// Tokens is the length of each.
	Tokens int `toml:"tokens" validate:"min=0,max=1000000"`
}

// Call describes calls of a plain service.
type Call struct {
	Service string `toml:"service"`
	Method  string `toml:"method" validate:"omitempty,oneof=GET POST"`
	// Path starts with a slash; %d stands for a number drawn for each call.
	Path string `toml:"path" validate:"omitempty,startswith=/"`
	// NonIdempotent calls carry an Idempotency-Key and a body of their own.
	NonIdempotent bool `toml:"nonIdempotent"`
}

// Load reads and checks a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Join(ErrInvalid, err)
	}
	return Parse(path, text)
}

// Parse reads and checks a scenario; name stands in its errors as the file's name.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{Duration: wigeontoml.Duration{Duration: time.Minute}}
	if err := wigeontoml.Decode(name, text, s); err != nil {
		return nil, errors.Join(ErrInvalid, err)
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(); err != nil {
			return nil, errors.Join(ErrInvalid, fmt.Errorf("%s: classes[%d]: %w", name, i, err))
		}
	}
	return s, nil
}

// check tests what depends on more than one key.
func (c *Class) check() error {
	a := c.Arrival
	switch {
	case a.Process == ProcessOpen && a.Rate <= 0:
		return errors.New("arrival.rate: must be above 0 for an open process")
	case a.Process == ProcessClosed && a.Callers < 1:
		return errors.New("arrival.callers: must be at least 1 for a closed process")
	case a.BurstFactor > 0 && (a.BurstEvery.Duration <= 0 || a.BurstLength.Duration <= 0):
		return errors.New("arrival.burstEvery, arrival.burstLength: must be set together with burstFactor")
	case a.BurstLength.Duration > a.BurstEvery.Duration:
		return errors.New("arrival.burstLength: is longer than burstEvery")
	case c.Kind == KindCall && (c.Call.Service == "" || c.Call.Method == "" || c.Call.Path == ""):
		return errors.New("call.service, call.method, call.path: must be set for calls")
	case c.Kind != KindCall && (c.Prompt.Min < 1 || c.Answer.Min < 1):
		return errors.New("prompt.min, answer.min: must be at least 1")
	}
	return nil
}
