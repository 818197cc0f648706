package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Endpoint holds the settings of connections to endpoints.
type Endpoint struct {
	// DialTimeout limits the time to connect.
	DialTimeout wigeontoml.Duration `toml:"dialTimeout" validate:"min=1000000"`
	// FirstTokenTimeout limits the wait for the first token, or for the response of a plain service.
	FirstTokenTimeout wigeontoml.Duration `toml:"firstTokenTimeout" validate:"min=1000000"`
	// ChunkTimeout limits the wait between two chunks of a stream.
	ChunkTimeout wigeontoml.Duration `toml:"chunkTimeout" validate:"min=1000000"`
	TLS          TLS                 `toml:"tls"`
}

func defaultEndpoint() Endpoint {
	return Endpoint{
		DialTimeout:       wigeontoml.Duration{Duration: time.Second},
		FirstTokenTimeout: wigeontoml.Duration{Duration: 30 * time.Second},
		ChunkTimeout:      wigeontoml.Duration{Duration: 10 * time.Second},
	}
}
