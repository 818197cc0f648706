// Package wigeonrelay passes the requests of callers on to endpoints and their answers back, byte for byte.
//
// One goroutine serves a request from its arrival to its last byte. What to do with the request is decided by package
// wigeondispatch; this package tells it what happens and carries out what it says.
package wigeonrelay
