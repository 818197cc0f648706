package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeonhedge"
	"wigeonshift/internal/services/wigeonquarantine"
)

// Effect is an action that the caller of State.Reduce must carry out.
type Effect interface{ effect() }

// Reason says why a request got no answer from an endpoint.
type Reason string

// Reasons of refusals and failures. A refusal means that the request did not run.
const (
	// ReasonQuota means that the organisation has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonNoEndpoint means that no endpoint of the service can accept the request.
	ReasonNoEndpoint Reason = "noEndpoint"
	// ReasonOverload means that the queue is too long for the request to start in time.
	ReasonOverload Reason = "overload"
	// ReasonAttempts means that no attempt ran the request and it may not be sent again.
	ReasonAttempts Reason = "attempts"
	// ReasonDeadline means that the request ran out of time while it was queued.
	ReasonDeadline Reason = "deadline"
	// ReasonStopping means that the instance stopped before the request could be sent.
	ReasonStopping Reason = "stopping"
	// ReasonCutOff means that the instance reaches no endpoint, and no other instance took the request.
	ReasonCutOff Reason = "cutOff"
	// ReasonBackoff means that all endpoints of the service want no requests for a while.
	ReasonBackoff Reason = "backoff"
	// ReasonQuarantined means that the request was there when several endpoints crashed. It is refused, or fails if it may
	// have run.
	ReasonQuarantined Reason = "quarantined"
	// ReasonEndpointFailed means that the endpoint ran the request and failed.
	ReasonEndpointFailed Reason = "endpointFailed"
	// ReasonLost means that the request may have run and its answer was lost.
	ReasonLost Reason = "lost"
)

type (
	// Dispatch sends a request to an endpoint.
	Dispatch struct {
		Job        JobID
		EndpointID string
		Address    string
		// StartedAtMillis tells the incarnations of the endpoint apart.
		StartedAtMillis int64
		// Attempt counts from 1.
		Attempt int
		// Timeout is the time left until the deadline of the request.
		Timeout time.Duration
		// StallTimeout is how long the endpoint may be silent before an AttemptStalled event must be reported; zero means
		// never.
		StallTimeout time.Duration
		// HedgeDelay is how long the attempt may be without an answer before a HedgeDue event must be reported; zero means never.
		HedgeDelay time.Duration
		// Running is the number of other requests that run on the endpoint, as far as this instance knows.
		Running int
		// KeptTokens is the number of prompt tokens that the endpoint is expected to keep. IsHome is set if it is the home of the
		// prompt.
		KeptTokens int
		IsHome     bool
		// CrossesZones is set if the endpoint is in another availability zone than this instance.
		CrossesZones bool
		// QueueTime is the time since the request arrived.
		QueueTime time.Duration
		// DecidedAt is the time of the decision. MaxSendDelay is the longest time from then until the first byte is written;
		// later the request must not be sent. Zero means no limit.
		DecidedAt, MaxSendDelay time.Duration
		// Resend is the decision of the retry budget; nil if the request was not sent before.
		Resend *wigeonbudget.Decision
		// IsLimited is set if the endpoint has named a limit, RequestsPerSecond. What the response says of it must then be
		// reported, also if it says nothing.
		IsLimited         bool
		RequestsPerSecond float64
		// LimitHolds is the number of decisions before in which a limit kept the request from an endpoint.
		LimitHolds int
		// IsBrittle is set if the endpoint is brittle. What the response says of that must then be reported, also if it says
		// nothing.
		IsBrittle bool
	}
	// Hedge sends a request to an endpoint beside its running attempt. The first answer that begins whole is passed on. An
	// AttemptEnded event must follow for each of both attempts, with OutcomeCancelled for the one that is cancelled for the other.
	Hedge struct {
		// Candidate proves that the request may run twice.
		Candidate wigeonhedge.Candidate
		Dispatch
	}
	// HedgeRefused reports that a request that is due for a hedge gets none.
	HedgeRefused struct {
		Job      JobID
		Obstacle HedgeObstacle
	}
	// Refuse answers a request that did not run.
	Refuse struct {
		Job        JobID
		Reason     Reason
		RetryAfter time.Duration
		// Waiting is the number of requests that this instance has queued for the service. FreeSlots is the number of free
		// slots on the endpoints of this instance's group.
		Waiting, FreeSlots int
		// QuotaLeft is what is left of the organisation's quota, in units. QuotaShare is the share of the quota that the
		// instances in contact with this one may use.
		QuotaLeft, QuotaShare float64
		// QuotaGroupLeft is what is left of the share that the instance's group may use in a large fleet, in units; requests
		// are refused while it is zero or less. QuotaGroupFairShare is the group's equal share of the quota. It is 1 in a
		// small fleet, which has no limit per group.
		QuotaGroupLeft, QuotaGroupFairShare float64
		// QuotaRoundLeft is what is left of what this instance may use by itself until all members of its group have reported, in
		// units, and QuotaRoundAge the time since they last had.
		QuotaRoundLeft float64
		QuotaRoundAge  time.Duration
		// QuotaWindowUsed is what all instances have used in the quota's window, as far as this one knows, in units.
		QuotaWindowUsed float64
		// LimitHolds is the number of decisions in which a limit kept the request from an endpoint. Limited is the number of
		// endpoints of the service that name limits.
		LimitHolds, Limited int
		// Crashes holds the crashes at which the request was there, or others with the same content if it is refused for these.
		Crashes []wigeonshift.Crash
		// Cause is the cause of crashes for which the request is refused; nil if there is none.
		Cause *wigeonquarantine.Cause
		// Resend is the decision of the retry budget if it refused another attempt; otherwise nil.
		Resend *wigeonbudget.Decision
	}
	// Failure answers a request that ran or may have run.
	Failure struct {
		Job    JobID
		Reason Reason
		// Resend is the decision of the retry budget if it refused another attempt; otherwise nil.
		Resend *wigeonbudget.Decision
	}
	// Abandon ends a running attempt so that the request can move to another endpoint. An AttemptEnded event must follow.
	Abandon struct {
		Job JobID
	}
	// PassOn passes a request on to another instance, as this one reaches no endpoint. A PassEnded event must follow.
	PassOn struct {
		Job JobID
		// Peer is the ID of the instance.
		Peer string
		// Attempt is 1 for the first peer.
		Attempt int
		// MayHaveRun is set if an endpoint may have run the request before. A refusal of the peer, which says that it has not run, must
		// then not reach the caller; it is reported with OutcomeRejected.
		MayHaveRun bool
		// Timeout is the time until the request's deadline, QueueTime that since it arrived.
		Timeout, QueueTime time.Duration
	}
	// ProbeEndpoint opens a new connection to an endpoint. An EndpointProbed event must follow.
	ProbeEndpoint struct {
		EndpointID, Address string
	}
	// CutOffRecorded reports that the instance reaches no endpoint, or reaches one again.
	CutOffRecorded struct {
		Ended bool
		// Endpoints is the number of endpoints that are listed, Peers that of the peers to which requests can be passed on, and Since
		// the time since the latest sign of an endpoint.
		Endpoints, Peers int
		Since            time.Duration
		// Duration is how long the instance was cut off, and Passed the number of requests that it has passed on meanwhile.
		Duration time.Duration
		Passed   int
	}
	// CheckEndpoint checks whether the process of an endpoint still runs, after an attempt on it was lost. An
	// EndpointChecked event must follow.
	CheckEndpoint struct {
		EndpointID string
		Address    string
		// StartedAtMillis tells the incarnations of the endpoint apart; see wigeonshift.EndpointRecord.
		StartedAtMillis int64
		// Others are endpoints of which one must be reachable for the check to show that this one has ended. It is empty if there are
		// no others.
		Others []ProbeEndpoint
	}
	// LeavingReported reports that a peer knows an endpoint to be leaving of which the list of this instance doesn't tell.
	LeavingReported struct {
		EndpointID      string
		StartedAtMillis int64
		Peer            string
	}
	// SignalRecorded reports that an endpoint has said something new of itself.
	SignalRecorded struct {
		EndpointID      string
		StartedAtMillis int64
		RequestID       string
		// Leaving is set if the endpoint said for the first time that it is leaving.
		Leaving bool
		// Backoff is how long it wants no requests, if that is new.
		Backoff time.Duration
	}
	// LimitRecorded reports that an endpoint has named a limit, has changed it or no longer names one.
	LimitRecorded struct {
		EndpointID      string
		StartedAtMillis int64
		// RequestID is that of the request whose response says so; empty if another instance does.
		RequestID string
		Ended     bool
		// RequestsPerSecond is the limit that holds now, or the one that has ended.
		RequestsPerSecond float64
		// Sent is the number of requests that this instance has sent to the endpoint while it named a limit, and Duration how
		// long it has done so.
		Sent     uint64
		Duration time.Duration
		// Held is the number of decisions in which the endpoint got no request of this instance because of the limit.
		Held int
		// Members is the number of instances among which the limit is divided, of which this one can reach Reporting.
		Members, Reporting int
		// Age is the time since the latest answer that named the limit.
		Age time.Duration
	}
	// BrittleRecorded reports that the endpoints of a service have become brittle, or no longer are.
	BrittleRecorded struct {
		Service, EndpointID string
		Ended               bool
		// RejectionsPerSecond is the rate beyond which they fall over.
		RejectionsPerSecond float64
		// Rejected is the number of requests of this instance that they have rejected meanwhile, and Held the number of decisions in
		// which an endpoint got no request because its room wasn't sure.
		Rejected, Held int
		Duration       time.Duration
	}
	// LossRecorded reports that an attempt counts as lost, because its endpoint may have crashed.
	LossRecorded struct {
		RequestID       string
		Fingerprint     wigeonshift.Fingerprint
		Shared          wigeonshift.SharedFingerprints
		Features        []wigeonshift.Fingerprint
		EndpointID      string
		StartedAtMillis int64
		// Kind is broken, silent or unverified.
		Kind string
	}
	// ReportCrash reports that a request was there when an endpoint crashed, so that the other instances learn of it.
	ReportCrash struct {
		Crash wigeonshift.Crash
		// Crashes is the number of crashes of the request so far; Quarantined is set if it is refused from now on.
		Crashes     int
		Quarantined bool
	}
	// StartTrial reports that a request is sent although others like it are suspected of crashes.
	StartTrial struct {
		RequestID   string
		Fingerprint wigeonshift.Fingerprint
		Shared      wigeonshift.SharedFingerprints
		// Answers is the number of trials that were answered since the latest crash.
		Answers int
		// Cause is the cause of crashes that is tried; nil if the request is suspected by its content.
		Cause *wigeonquarantine.Cause
	}
	// ReportAnswer reports that a request with a feature that several crashes have in common was answered.
	ReportAnswer struct {
		Answer wigeonshift.FeatureAnswer
	}
	// ClearCrashes reports that a request has run to its end and thus did not cause the crashes reported for it.
	ClearCrashes struct {
		Fingerprint wigeonshift.Fingerprint
	}
	// RolloutRecorded reports a change of a rollout.
	RolloutRecorded struct {
		Order wigeonshift.RolloutOrder
		// State is the state that the store holds; empty if unknown.
		State wigeonshift.RolloutState
		Stage wigeonshift.RolloutStage
		// Condemned says why the target version is bad; empty if it isn't.
		Condemned string
		Age       time.Duration
		// Totals are the answers of all instances over all routes, by stage and version.
		Totals []wigeonshift.RolloutCount
	}
	// RolloutAttempt reports the end of an attempt on a service with a running rollout.
	RolloutAttempt struct {
		Service, Version string
		Outcome          Outcome
		Succeeded        bool
	}
	// RequestReclaimed reports that a request was ended by an audit, because its call didn't report its end.
	RequestReclaimed struct {
		Job       JobID
		RequestID string
		// EndpointID and Peer are the endpoint and the instance that the request occupied; empty if none.
		EndpointID, Peer string
		// Age is the time since the request arrived.
		Age time.Duration
		// IsWithdrawn is set if the call has ended.
		IsWithdrawn bool
	}
	// CountCorrected reports that an audit has corrected a count that differed from the requests that are known.
	CountCorrected struct {
		Count Count
		// Of is the endpoint or the service; empty for a count of the instance.
		Of       string
		From, To int
	}
	// Suspect reports that an endpoint gets no requests for a while, because it failed repeatedly or another endpoint has its address.
	Suspect struct {
		EndpointID string
		Duration   time.Duration
		Failures   int
		// Misplaced is the number of misdirected requests since the last success; zero if the endpoint failed.
		Misplaced int
	}
)

// Count is a number of requests that an audit checks.
type Count string

// Counts that an audit checks.
const (
	// CountedLoad is the number of attempts on an endpoint.
	CountedLoad Count = "load"
	// CountedPassing is the number of requests that are passed on.
	CountedPassing Count = "passing"
	// CountedReserved is the number of resends that are reserved in the retry budget of a service.
	CountedReserved Count = "reserved"
)

func (Dispatch) effect()         {}
func (RequestReclaimed) effect() {}
func (CountCorrected) effect()   {}
func (Hedge) effect()            {}
func (HedgeRefused) effect()     {}
func (Refuse) effect()           {}
func (Failure) effect()          {}
func (Abandon) effect()          {}
func (RolloutRecorded) effect()  {}
func (RolloutAttempt) effect()   {}
func (Suspect) effect()          {}
func (PassOn) effect()           {}
func (ProbeEndpoint) effect()    {}
func (CutOffRecorded) effect()   {}
func (CheckEndpoint) effect()    {}
func (LeavingReported) effect()  {}
func (SignalRecorded) effect()   {}
func (LimitRecorded) effect()    {}
func (BrittleRecorded) effect()  {}
func (LossRecorded) effect()     {}
func (ReportCrash) effect()      {}
func (StartTrial) effect()       {}
func (ReportAnswer) effect()     {}
func (ClearCrashes) effect()     {}
