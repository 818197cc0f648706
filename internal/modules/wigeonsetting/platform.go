package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Platform holds the settings of the platform's table, object store, instance list and weight store.
type Platform struct {
	// Address is the IP address and port of the platform's services.
	Address string `toml:"address" validate:"required,hostname_port"`
	// Timeout limits each call.
	Timeout wigeontoml.Duration `toml:"timeout" validate:"min=1000000"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls by this instance.
	WritesPerSecond float64 `toml:"writesPerSecond" validate:"min=0.1,max=1000"`
	ReadsPerSecond  float64 `toml:"readsPerSecond" validate:"min=0.1,max=10000"`
	// Announce registers the instance with the stand-in platform, which can't discover instances on its own.
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
