package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Caller holds the settings of the callers' API.
type Caller struct {
	// Listen is the IP number and port for callers.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int `toml:"maxBodyBytes" validate:"min=1024,max=1073741824"`
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes int `toml:"maxHeaderBytes" validate:"min=1024,max=1048576"`
	// MaxConcurrent bounds the requests in flight on this instance.
	MaxConcurrent int `toml:"maxConcurrent" validate:"min=1,max=1000000"`
	// ReadTimeout bounds the time to read a whole request.
	ReadTimeout wigeontoml.Duration `toml:"readTimeout" validate:"min=1000000"`
	// WriteTimeout bounds one write of an answer to a slow caller.
	WriteTimeout wigeontoml.Duration `toml:"writeTimeout" validate:"min=1000000"`
	// IdleTimeout closes connections without a request.
	IdleTimeout wigeontoml.Duration `toml:"idleTimeout" validate:"min=1000000"`
	TLS         TLS                 `toml:"tls"`
}

func defaultCaller() Caller {
	return Caller{
		Listen:         "127.0.0.1:8080",
		MaxBodyBytes:   8 << 20,
		MaxHeaderBytes: 16 << 10,
		MaxConcurrent:  4096,
		ReadTimeout:    wigeontoml.Duration{Duration: 30 * time.Second},
		WriteTimeout:   wigeontoml.Duration{Duration: 30 * time.Second},
		IdleTimeout:    wigeontoml.Duration{Duration: 2 * time.Minute},
	}
}
