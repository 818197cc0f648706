// Package wigeonrollout decides how much of a service's traffic a new version gets, and whether it is good. It is pure: the
// caller passes the time, the outcomes of attempts and the reports of other instances.
package wigeonrollout
