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

// Values of ErrorBody.Reason.
const (
	ReasonNotFound        = "notFound"
	ReasonConditionFailed = "conditionFailed"
	ReasonUnavailable     = "unavailable"
	ReasonThrottled       = "throttled"
	ReasonBadRequest      = "badRequest"
	ReasonOutcomeUnknown  = "outcomeUnknown"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Reason  string `json:"reason"`
	Message string `json:"message,omitempty"`
}

// RowsBody is the response to a scan.
type RowsBody struct {
	Rows []wigeonshift.Row `json:"rows"`
}

// CommitBody is the response to a transaction.
type CommitBody struct {
	Revisions []uint64 `json:"revisions"`
}

// KeysBody is the response to a listing of objects.
type KeysBody struct {
	Keys []string `json:"keys"`
}

// InstancesBody is the response to a request for the instance list.
type InstancesBody struct {
	Instances []wigeonshift.Instance `json:"instances"`
}

// ReservationBody requests a weight slot.
type ReservationBody struct {
	Model string `json:"model"`
}

// ReservationResponse is the response to a reservation. WaitMS is 0 if the slot is granted.
type ReservationResponse struct {
	WaitMS int64 `json:"waitMs"`
}
