// Package wigeonstorecall counts the calls that an instance makes to the platform's store.
package wigeonstorecall

import (
	"wigeonshift"

	"github.com/uber-go/tally/v4"
)

// Reason is why a call is made.
type Reason string

// Reasons of calls.
const (
	// List is a listing of a whole table.
	List Reason = "list"
	// Watch is a poll that the store holds until something changes.
	Watch Reason = "watch"
	// Change is the poll after one that returned a change.
	Change Reason = "change"
	// Repoll is a poll in place of one whose connection may have fallen silent.
	Repoll Reason = "repoll"
	// Retry is a call after a failed one.
	Retry Reason = "retry"
	// Write is a write of rows.
	Write Reason = "write"
)

// Count counts one call. A listing of several pages counts as one.
func Count(scope tally.Scope, table wigeonshift.RoutingTable, reason Reason) {
	scope.Tagged(map[string]string{"table": table.String(), "reason": string(reason)}).Counter("storeCalls").Inc(1)
}
