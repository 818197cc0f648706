package wigeonplatform

import (
	"wigeonshift"
)

// Paths of the HTTP protocol.
const (
	PathRow          = "/v1/table/row"
	PathRows         = "/v1/table/rows"
	PathTransactions = "/v1/table/transactions"
	PathObject       = "/v1/objects/object"
	PathObjects      = "/v1/objects"
	PathInstances    = "/v1/instances"
	PathReservations = "/v1/weights/reservations"

	PathStandinFaults    = "/standin/faults"
	PathStandinInstances = "/standin/instances"
	PathStandinCounts    = "/standin/counts"
)

// Reasons in error bodies.
const (
	ReasonNotFound        = "notFound"
	ReasonConditionFailed = "conditionFailed"
	ReasonUnavailable     = "unavailable"
	ReasonThrottled       = "throttled"
	ReasonBadRequest      = "badRequest"
	ReasonOutcomeUnknown  = "outcomeUnknown"
)

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Reason  string `json:"reason"`
	Message string `json:"message,omitempty"`
}

// RowsBody answers a scan.
type RowsBody struct {
	Rows []wigeonshift.Row `json:"rows"`
}

// CommitBody answers a transaction.
type CommitBody struct {
	Revisions []uint64 `json:"revisions"`
}

// KeysBody answers a listing of objects.
type KeysBody struct {
	Keys []string `json:"keys"`
}

// InstancesBody answers the instance list.
type InstancesBody struct {
	Instances []wigeonshift.Instance `json:"instances"`
}

// ReservationBody asks for a weight slot.
type ReservationBody struct {
	Model string `json:"model"`
}

// ReservationAnswer answers a reservation; 0 grants the slot.
type ReservationAnswer struct {
	WaitMS int64 `json:"waitMs"`
}
