package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Drain holds the settings of a planned stop.
type Drain struct {
	// Timeout bounds the wait for requests in flight; each one that overruns it is logged and cut.
	Timeout wigeontoml.Duration `toml:"timeout" validate:"min=1000000"`
	// Notice is the wait between turning readiness off and refusing new requests, for the balancer to notice.
	Notice wigeontoml.Duration `toml:"notice" validate:"min=0"`
}

func defaultDrain() Drain {
	return Drain{Timeout: wigeontoml.Duration{Duration: 10 * time.Minute}, Notice: wigeontoml.Duration{Duration: 3 * time.Second}}
}
