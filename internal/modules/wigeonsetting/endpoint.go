package wigeonsetting

import "time"

// Endpoint holds the settings of connections to endpoints.
type Endpoint struct {
	// DialTimeout bounds a connect.
	DialTimeout Duration `toml:"dialTimeout" validate:"min=1000000"`
	// FirstTokenTimeout bounds the wait for the first token or a plain service's answer.
	FirstTokenTimeout Duration `toml:"firstTokenTimeout" validate:"min=1000000"`
	// ChunkTimeout bounds the wait between two chunks of a stream.
	ChunkTimeout Duration `toml:"chunkTimeout" validate:"min=1000000"`
	TLS          TLS      `toml:"tls"`
}

func defaultEndpoint() Endpoint {
	return Endpoint{
		DialTimeout:       Duration{time.Second},
		FirstTokenTimeout: Duration{30 * time.Second},
		ChunkTimeout:      Duration{10 * time.Second},
	}
}
