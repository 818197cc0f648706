package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Caller holds the settings of the API for callers.
type Caller struct {
	// Listen is the IP address and port on which the instance accepts callers.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int `toml:"maxBodyBytes" validate:"min=1024,max=1073741824"`
	// MaxHeaderBytes limits the size of the request headers.
	MaxHeaderBytes int `toml:"maxHeaderBytes" validate:"min=1024,max=1048576"`
	// MaxConcurrent limits the requests in flight on this instance.
	MaxConcurrent int `toml:"maxConcurrent" validate:"min=1,max=1000000"`
	// ReadTimeout limits the time to read a whole request.
	ReadTimeout wigeontoml.Duration `toml:"readTimeout" validate:"min=1000000"`
	// WriteTimeout limits each write of a response, for slow callers.
	WriteTimeout wigeontoml.Duration `toml:"writeTimeout" validate:"min=1000000"`
	// IdleTimeout is the time after which a connection without a request is closed.
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
