package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Drain holds the settings of a graceful shutdown.
type Drain struct {
	// Timeout limits the wait for requests in flight. Requests that take longer are logged and aborted.
	Timeout wigeontoml.Duration `toml:"timeout" validate:"min=1000000"`
	// Notice is the delay between reporting not ready and refusing new requests, so that the load balancer can react.
	Notice wigeontoml.Duration `toml:"notice" validate:"min=0"`
}

func defaultDrain() Drain {
	return Drain{Timeout: wigeontoml.Duration{Duration: 10 * time.Minute}, Notice: wigeontoml.Duration{Duration: 3 * time.Second}}
}
