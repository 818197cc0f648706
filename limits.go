package wigeonshift

import "time"

// ConnectionLimits holds the limits on request sizes, open connections and the time that callers may take.
type ConnectionLimits struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	// MaxHeaderBytes limits the total size of a request line and its headers.
	MaxHeaderBytes int
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// ReadTimeout limits the time to read one request.
	ReadTimeout time.Duration
	// WriteTimeout limits the time for which a caller may accept no byte of a response.
	WriteTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection.
	IdleTimeout time.Duration
}
