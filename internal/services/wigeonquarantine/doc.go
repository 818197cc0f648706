// Package wigeonquarantine records which requests endpoints had when they crashed. A request that was there at several
// crashes is quarantined: it is refused, because it probably caused them. Requests are told apart by their fingerprint (a
// hash of the content), since each resend by a caller has another ID.
package wigeonquarantine
