// Package wigeonrelay forwards the requests of callers to endpoints and returns the endpoints' responses byte for byte.
//
// One goroutine serves a request from its arrival to the last byte of the response. Package wigeondispatch decides what
// to do with the request: this package reports events to it and carries out its decisions.
package wigeonrelay
