package wigeondispatch

import (
	"time"

	"wigeonshift"
)

// Event is an input of State.Reduce.
type Event interface {
	// at returns the time of the event on the instance's monotonic clock.
	at() time.Duration
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeDone means that the endpoint sent a complete answer, whatever its status.
	OutcomeDone Outcome = iota
	// OutcomeNotSent means that no byte of the request reached the endpoint.
	OutcomeNotSent
	// OutcomeDelayed means that no byte of the request reached the endpoint because Dispatch.MaxSendDelay had passed.
	OutcomeDelayed
	// OutcomeRejected means that the endpoint confirmed that it did not run the request.
	OutcomeRejected
	// OutcomeMisplaced means that the address now belongs to another endpoint.
	OutcomeMisplaced
	// OutcomeFailed means that the endpoint answered with an error.
	OutcomeFailed
	// OutcomeLost means that the request may have run, but no complete answer arrived.
	OutcomeLost
	// OutcomeAbandoned means that this instance ended the attempt because the caller disconnected or the deadline passed.
	OutcomeAbandoned
	// OutcomeCancelled means that this instance ended the attempt because the other one of a hedged request has won.
	OutcomeCancelled
)

var outcomeNames = [...]string{"done", "notSent", "delayed", "rejected", "misplaced", "failed", "lost", "abandoned", "cancelled"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// answered reports whether the endpoint answered, and so had received the request.
func (o Outcome) answered() bool {
	switch o {
	case OutcomeDone, OutcomeRejected, OutcomeMisplaced, OutcomeFailed:
		return true
	default:
		return false
	}
}

type (
	// ConfigurationChanged replaces the routing configuration.
	ConfigurationChanged struct {
		At            time.Duration
		Configuration *wigeonshift.RoutingConfiguration
	}
	// EndpointsListed replaces the list of endpoints.
	EndpointsListed struct {
		At      time.Duration
		Records []wigeonshift.EndpointRecord
		// Revision is the one up to which the list has all changes; zero if it isn't the store's.
		Revision uint64
	}
	// EndpointsCompleted reports that all endpoints that ran when the instance started are listed.
	EndpointsCompleted struct {
		At time.Duration
	}
	// RequestArrived adds a new request.
	RequestArrived struct {
		At  time.Duration
		Job *Job
	}
	// FirstEventReceived reports that the first event of a running attempt has arrived.
	FirstEventReceived struct {
		At  time.Duration
		Job JobID
		// Hedge is set if the attempt is a hedge.
		Hedge bool
	}
	// HedgeDue reports that the attempt that was dispatched at DispatchedAt has had no answer for Dispatch.HedgeDelay.
	HedgeDue struct {
		At           time.Duration
		Job          JobID
		DispatchedAt time.Duration
	}
	// AttemptStalled reports that the endpoint of a running attempt has been silent for the time Dispatch.StallTimeout.
	AttemptStalled struct {
		At  time.Duration
		Job JobID
	}
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		At      time.Duration
		Job     JobID
		Outcome Outcome
		// Hedge is set if the attempt is a hedge.
		Hedge bool
		// Succeeded is set if the endpoint ran the request and answered with success.
		Succeeded bool
		// Events is the number of events of a stream.
		Events int
		// Answerable is set if another attempt can still answer the caller, because the caller has received no byte of the
		// answer or the stream can be resumed.
		Answerable bool
	}
	// EndpointSignalled reports what an endpoint says of itself in a response.
	EndpointSignalled struct {
		At         time.Duration
		EndpointID string
		// StartedAtMillis is that of the Dispatch effect.
		StartedAtMillis int64
		// ConnectedAt is the time at which the connection was opened on which the response came.
		ConnectedAt time.Duration
		// RequestID is that of the request on whose connection the response came.
		RequestID string
		// Leaving and Backoff are those of wigeonshift.ResponseHeader.
		Leaving bool
		Backoff time.Duration
		// Limit is that of wigeonshift.ResponseHeader, and DispatchedAt the time of the decision to send the request. Limit is
		// Unreadable for a response to another request, so that a late one doesn't end a limit.
		Limit        wigeonshift.EndpointLimit
		DispatchedAt time.Duration
		// Brittle is that of wigeonshift.ResponseHeader, with the same exception as Limit.
		Brittle wigeonshift.EndpointLimit
	}
	// EndpointChecked reports the result of a CheckEndpoint effect.
	EndpointChecked struct {
		At         time.Duration
		EndpointID string
		// StartedAtMillis is that of the effect.
		StartedAtMillis int64
		Liveness        wigeonshift.Liveness
	}
	// CrashesListed replaces what the instances know of crashes.
	CrashesListed struct {
		At time.Duration
		wigeonshift.CrashEvidence
	}
	// RequestWithdrawn reports the end of the call of a request. The call reports the ends of the attempts that it has begun itself.
	RequestWithdrawn struct {
		At  time.Duration
		Job JobID
		// IsUnstarted is set if the call has not begun the attempt that was dispatched last.
		IsUnstarted bool
	}
	// PeerReported updates the load of another instance.
	PeerReported struct {
		At   time.Duration
		Peer string
		Load wigeonshift.LoadNotice
	}
	// PeerLost reports that another instance can no longer be reached.
	PeerLost struct {
		At   time.Duration
		Peer string
	}
	// ShareGranted sets the part of what all instances share that this instance may use, from 0 to 1, until a time on the
	// clock of the events.
	ShareGranted struct {
		At    time.Duration
		Share float64
		Until time.Duration
	}
	// InstancesListed replaces the list of instances, which includes this one.
	InstancesListed struct {
		At        time.Duration
		Instances []wigeonshift.Instance
		// Complete is set if these are all instances, not only those that have been found so far.
		Complete bool
	}
	// EndpointProbed reports the result of a ProbeEndpoint effect.
	EndpointProbed struct {
		At         time.Duration
		EndpointID string
		// Reached is set if a new connection could be opened.
		Reached bool
	}
	// PassEnded reports the end of a request that was passed on to a peer. OutcomeMisplaced means that the peer has refused it as it
	// reaches no endpoint itself, and OutcomeDone that it has answered, whatever the answer.
	PassEnded struct {
		At      time.Duration
		Job     JobID
		Outcome Outcome
		// Answerable is that of AttemptEnded.
		Answerable bool
	}
	// StopAnnounced reports that the instance stops and that no request may last longer than EndsAt.
	StopAnnounced struct {
		At, EndsAt time.Duration
	}
	// RolloutsListed replaces the rollout orders.
	RolloutsListed struct {
		At     time.Duration
		Orders []wigeonshift.RolloutOrder
		// MayBeOld is set if orders that aren't known yet may have been given some time ago.
		MayBeOld bool
	}
	// RolloutRead reports what the store holds of a rollout.
	RolloutRead struct {
		At            time.Duration
		Service       string
		OrderRevision uint64
		// State is empty if the store holds none for the order.
		State wigeonshift.RolloutState
		// Age is the time since the order, if IsAgeKnown is set.
		Age        time.Duration
		IsAgeKnown bool
	}
	// Tick is the periodic event that expires old peer reports and places queued requests.
	Tick struct {
		At time.Duration
		// Events is the number of events that the streams of running attempts have had so far, if FollowsEvents asks for it.
		Events map[JobID]int
	}
)

func (e ConfigurationChanged) at() time.Duration { return e.At }
func (e EndpointsListed) at() time.Duration      { return e.At }
func (e EndpointsCompleted) at() time.Duration   { return e.At }
func (e RequestArrived) at() time.Duration       { return e.At }
func (e FirstEventReceived) at() time.Duration   { return e.At }
func (e HedgeDue) at() time.Duration             { return e.At }
func (e AttemptStalled) at() time.Duration       { return e.At }
func (e AttemptEnded) at() time.Duration         { return e.At }
func (e EndpointSignalled) at() time.Duration    { return e.At }
func (e EndpointChecked) at() time.Duration      { return e.At }
func (e CrashesListed) at() time.Duration        { return e.At }
func (e RequestWithdrawn) at() time.Duration     { return e.At }
func (e PeerReported) at() time.Duration         { return e.At }
func (e PeerLost) at() time.Duration             { return e.At }
func (e ShareGranted) at() time.Duration         { return e.At }
func (e InstancesListed) at() time.Duration      { return e.At }
func (e EndpointProbed) at() time.Duration       { return e.At }
func (e PassEnded) at() time.Duration            { return e.At }
func (e StopAnnounced) at() time.Duration        { return e.At }
func (e RolloutsListed) at() time.Duration       { return e.At }
func (e RolloutRead) at() time.Duration          { return e.At }
func (e Tick) at() time.Duration                 { return e.At }
