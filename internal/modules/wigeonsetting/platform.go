package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Platform holds the settings of the platform's table, object store, instance list and weight store.
type Platform struct {
	// Address is the IP number and port of the platform's services.
	Address string `toml:"address" validate:"required,hostname_port"`
	// Timeout bounds one call.
	Timeout wigeontoml.Duration `toml:"timeout" validate:"min=1000000"`
	// WritesPerSecond and ReadsPerSecond bound this instance's calls.
	WritesPerSecond float64 `toml:"writesPerSecond" validate:"min=0.1,max=1000"`
	ReadsPerSecond  float64 `toml:"readsPerSecond" validate:"min=0.1,max=10000"`
	// Announce registers the instance with the stand-in platform, which has no other way to know it.
	Announce bool `toml:"announce"`
	TLS      TLS  `toml:"tls"`
}

func defaultPlatform() Platform {
	return Platform{
		Timeout:         wigeontoml.Duration{Duration: 2 * time.Second},
		WritesPerSecond: 100,
		ReadsPerSecond:  200,
	}
}
