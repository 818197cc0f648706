// Package wigeonpace models how fast the endpoints of a service work, and what a request costs the others on an endpoint. It is pure:
// it has no clock, no I/O and no goroutine.
package wigeonpace
