// Package wigeonscenario reads load scenarios and generates their requests. A scenario says which callers send which
// requests and how often. The seed determines all random values.
package wigeonscenario

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// ErrInvalid means that a scenario file cannot be read or is not valid.
var ErrInvalid = errors.New("invalid scenario")

// Scenario describes the load of one run.
type Scenario struct {
	Name string `toml:"name" validate:"required"`
	Seed uint64 `toml:"seed"`
	// Duration is how long new requests are sent. After it, the run waits for the requests in flight.
	Duration wigeontoml.Duration `toml:"duration" validate:"min=1000000"`
	// Nodes are the addresses at which callers reach the nodes' API. Requests go to them in round-robin order.
	Nodes []string `toml:"nodes" validate:"dive,hostname_port"`
	// Engines and Plains are the addresses of the stand-in engines and plain services whose ledgers are read before and
	// after the run.
	Engines []string `toml:"engines" validate:"dive,hostname_port"`
	Plains  []string `toml:"plains" validate:"dive,hostname_port"`
	Classes []Class  `toml:"classes" validate:"min=1,dive"`
}

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindCall       Kind = "call"
)

// Class describes similar requests of one organisation.
type Class struct {
	Name         string `toml:"name" validate:"required"`
	Organisation string `toml:"organisation" validate:"required"`
	// APIKey is the key with which the caller authenticates.
	APIKey string `toml:"apiKey" validate:"required"`
	Tier   string `toml:"tier" validate:"required"`
	Kind   Kind   `toml:"kind" validate:"oneof=completion chat call"`
	Model  string `toml:"model" validate:"required_unless=Kind call"`
	// Stream requests the response as server-sent events.
	Stream   bool                `toml:"stream"`
	Deadline wigeontoml.Duration `toml:"deadline" validate:"min=1000000"`
	// Resends is the maximum number of times that a failed request is sent again.
	Resends int     `toml:"resends" validate:"min=0,max=100"`
	Arrival Arrival `toml:"arrival"`
	// Prompt and Answer are the lengths of the prompt and of the response in tokens.
	Prompt Lengths `toml:"prompt"`
	Answer Lengths `toml:"answer"`
	Shared Shared  `toml:"shared"`
	Call   Call    `toml:"call"`
}

// Process is the kind of an arrival process.
type Process string

// Arrival processes.
const (
	// ProcessOpen sends requests at random times, independently of the responses.
	ProcessOpen Process = "open"
	// ProcessClosed has a fixed number of callers. Each sends its next request after the response to its last one.
	ProcessClosed Process = "closed"
)

// Arrival describes when the requests of a class are sent.
type Arrival struct {
	Process Process `toml:"process" validate:"oneof=open closed"`
	// Rate is the mean number of requests per second of an open process outside bursts.
	Rate float64 `toml:"rate" validate:"min=0,max=100000"`
	// BurstFactor multiplies the rate during a burst. 0 means no bursts.
	BurstFactor float64 `toml:"burstFactor" validate:"min=0,max=1000"`
	// BurstEvery is the time from the start of one burst to the start of the next.
	BurstEvery  wigeontoml.Duration `toml:"burstEvery" validate:"min=0"`
	BurstLength wigeontoml.Duration `toml:"burstLength" validate:"min=0"`
	// Callers is the number of callers of a closed process.
	Callers int `toml:"callers" validate:"min=0,max=10000"`
	// Think is the mean pause of a caller of a closed process between a response and the next request.
	Think wigeontoml.Duration `toml:"think" validate:"min=0"`
}

// Lengths is a distribution of lengths from Min to Max whose logarithm is uniformly distributed.
type Lengths struct {
	Min int `toml:"min" validate:"min=0,max=1000000"`
	Max int `toml:"max" validate:"gtefield=Min,max=1000000"`
}

// Shared describes prompt prefixes that several requests of a class have in common.
type Shared struct {
	// Prefixes is the number of different prefixes. 0 means none.
	Prefixes int `toml:"prefixes" validate:"min=0,max=10000"`
	// Tokens is the length of each prefix.
	Tokens int `toml:"tokens" validate:"min=0,max=1000000"`
}

// Call describes the requests of a class that calls a plain service.
type Call struct {
	Service string `toml:"service"`
	Method  string `toml:"method" validate:"omitempty,oneof=GET POST"`
	// Path starts with a slash. %d stands for a random number, chosen anew for each call.
	Path string `toml:"path" validate:"omitempty,startswith=/"`
	// NonIdempotent calls each have their own Idempotency-Key and body.
	NonIdempotent bool `toml:"nonIdempotent"`
}

// Load reads and validates a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Join(ErrInvalid, err)
	}
	return Parse(path, text)
}

// Parse reads and validates the text of a scenario. Errors show name as the file name.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{Duration: wigeontoml.Duration{Duration: time.Minute}}
	if err := wigeontoml.Decode(name, text, s); err != nil {
		return nil, errors.Join(ErrInvalid, err)
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return nil, errors.Join(ErrInvalid, fmt.Errorf("%s: classes[%d]: %w", name, i, err))
		}
	}
	return s, nil
}

// validate checks the rules that involve more than one key.
func (c *Class) validate() error {
	a := c.Arrival
	switch {
	case a.Process == ProcessOpen && a.Rate <= 0:
		return errors.New("arrival.rate: must be above 0 for an open process")
	case a.Process == ProcessClosed && a.Callers < 1:
		return errors.New("arrival.callers: must be at least 1 for a closed process")
	case a.BurstFactor > 0 && (a.BurstEvery.Duration <= 0 || a.BurstLength.Duration <= 0):
		return errors.New("arrival.burstEvery, arrival.burstLength: must be set together with burstFactor")
	case a.BurstLength.Duration > a.BurstEvery.Duration:
		return errors.New("arrival.burstLength: must not be longer than burstEvery")
	case c.Kind == KindCall && (c.Call.Service == "" || c.Call.Method == "" || c.Call.Path == ""):
		return errors.New("call.service, call.method, call.path: must be set for calls")
	case c.Kind != KindCall && (c.Prompt.Min < 1 || c.Answer.Min < 1):
		return errors.New("prompt.min, answer.min: must be at least 1")
	}
	return nil
}
