// Package wigeonhedge decides when a request is hedged: which requests may be, after which time without an answer a second
// attempt is sent, and how many may be. It is pure: it reads no clock and does no I/O.
package wigeonhedge
