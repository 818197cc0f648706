package wigeonsetting

import "time"

// Drain holds the settings of a planned stop.
type Drain struct {
	// Timeout bounds the wait for requests in flight; each one that overruns it is logged and cut.
	Timeout Duration `toml:"timeout" validate:"min=1000000"`
	// Notice is the wait between turning readiness off and refusing new requests, for the balancer to notice.
	Notice Duration `toml:"notice" validate:"min=0"`
}

func defaultDrain() Drain {
	return Drain{Timeout: Duration{10 * time.Minute}, Notice: Duration{3 * time.Second}}
}
