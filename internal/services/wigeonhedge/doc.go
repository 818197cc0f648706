// Package wigeonhedge decides when a request is hedged: which requests may be, and after which time without an answer a
// second attempt is sent. It is pure: it reads no clock and does no I/O.
package wigeonhedge
