package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
)

// JobID identifies a request within one instance and is never reused.
type JobID uint64

// Job is a request that is queued or running.
type Job struct {
	ID JobID
	// RequestID is the caller's ID of the request. It is used only in logs.
	RequestID string
	// Fingerprint identifies what the request asks for. It is the same for every resend by the caller that changes nothing,
	// each of which has its own RequestID; zero if unknown. Shared holds what the request has in common with others.
	Fingerprint wigeonshift.Fingerprint
	Shared      wigeonshift.SharedFingerprints
	// Features identify what else the request may have in common with others, such as the parts of its prompt.
	Features []wigeonshift.Fingerprint
	Service  string
	// Route is the name of the route that the request matched.
	Route string
	// Tier is the rank of the organisation, or of the route if the organisation has none.
	Tier wigeonshift.TierRank
	// RouteTier is the rank of the route. It orders the requests of one tier.
	RouteTier wigeonshift.TierRank
	Kind      wigeonshift.RouteKind
	// Resumable is set for streams that another endpoint can continue after their last complete event.
	Resumable    bool
	Organisation string
	// Arrived and Deadline are times on the instance's monotonic clock. An answer after Deadline is useless.
	Arrived  time.Duration
	Deadline time.Duration
	// LatencyObjective is the latency objective for the first event of a stream, or for a plain answer.
	LatencyObjective time.Duration
	// Elapsed is the time that the caller had already spent on earlier tries before the request arrived here.
	Elapsed time.Duration
	// CallerPatience is the time after which the caller disconnects if it has received nothing.
	CallerPatience time.Duration
	// MaxAttempts is the largest number of endpoints that the request may be sent to.
	MaxAttempts int
	// HasTokens is set for requests to model engines.
	HasTokens    bool
	PromptTokens int
	// PromptParts are the parts at the start of the prompt that an endpoint may keep.
	PromptParts []wigeonshift.PromptPart
	// AnswerTokens is the maximum number of tokens of the answer.
	AnswerTokens int
	// ExpectedAnswerTokens is the estimated number of tokens of the answer, at most AnswerTokens.
	ExpectedAnswerTokens int
	// PassedOn is set if another instance has passed the request on to this one. It isn't passed on again.
	PassedOn bool
	// Units is the part of the organisation's quota that the request uses.
	Units float64

	// identifiers are Fingerprint, Shared and Features; nil if the request has no Features.
	identifiers []wigeonshift.Fingerprint
	// promptKeys identify the prompt up to the end of each of PromptParts.
	promptKeys []promptKey
	// home is the home of the prompt among the endpoints of the pool's generation homeGeneration.
	home           *endpoint
	homeGeneration uint64
	// attempts is the number of endpoints that the request was sent to.
	attempts int
	// passAttempts is the number of peers that the request was passed on to, passingTo the one that has it now; empty if none.
	passAttempts int
	passingTo    string
	// failedEndpoints lists the IDs of the endpoints that must not get the request again.
	failedEndpoints []string
	// attempt is the running attempt, and the one that the reducer handles while there are two. second is the other one, which runs
	// as well; nil if there is none.
	attempt
	second *attempt
	// isOver is set once the call has ended while an attempt still runs.
	isOver bool
	// overdueAudits is the number of audits since the call or its time has ended.
	overdueAudits int
	// answerStarted is set once the first event of the answer has arrived.
	answerStarted bool
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// failedOver is set once the request moves to another endpoint after an earlier one may have run it.
	failedOver bool
	// resendReserved is set while a resend of the request is reserved in the retry budget.
	resendReserved bool
	// resend is the latest decision of the retry budget on the request; nil if there was none.
	resend *wigeonbudget.Decision
	// limitHolds is the number of decisions in which a limit kept the request from an endpoint.
	limitHolds int
	// isTrial is set if the request is sent although others like it are suspected of crashes.
	isTrial bool
	// triedCause is the key of the cause of crashes in spite of which the request is sent; zero if there is none.
	triedCause wigeonshift.Fingerprint
	// rolloutRun is the running attempt for the rollout of the service; nil if there is none. failedOnTarget and failedOnOthers
	// are set once an attempt has failed on the target version and on another.
	rolloutRun                     *rolloutRun
	failedOnTarget, failedOnOthers bool
	// quotaCharged is set while Units are charged to the organisation's quota.
	quotaCharged bool
}

// repeatable reports whether the request may be sent again after it may have run.
func (j *Job) repeatable() bool {
	return j.Kind == wigeonshift.RouteIdempotent || j.Kind == wigeonshift.RouteStreaming && j.Resumable
}

// refusedResend returns the decision of the retry budget if it refused another attempt, and nil otherwise.
func (j *Job) refusedResend() *wigeonbudget.Decision {
	if j.resend == nil || j.resend.Allowed {
		return nil
	}
	return j.resend
}

// hasFailedOn reports whether an earlier attempt on an endpoint gave no answer. The request must not be sent to that
// endpoint again.
func (j *Job) hasFailedOn(id string) bool {
	for _, f := range j.failedEndpoints {
		if f == id {
			return true
		}
	}
	return false
}

// unreadTokens returns the number of prompt tokens that the endpoint of the running attempt is expected to read.
func (j *Job) unreadTokens() int { return j.PromptTokens - j.keptTokens }

// tokenFootprint returns the engine memory that the request may need, in tokens.
func (j *Job) tokenFootprint() int {
	return j.PromptTokens + j.AnswerTokens
}

// size returns the size of the request in prompt tokens. An answer token counts as answerTokenWeight prompt tokens.
func (j *Job) size() float64 {
	return float64(j.PromptTokens + answerTokenWeight*j.AnswerTokens)
}

// answerTokenWeight is the number of prompt tokens that an answer token counts as.
const answerTokenWeight = 10

// isCallerRetry reports whether the caller has already tried this request at this or another instance.
func (j *Job) isCallerRetry() bool { return j.Elapsed > 0 }

// latestStart returns the latest time at which the request can be dispatched and still be on time, given the expected
// time to its first event. The time that the caller spent on earlier tries counts. A request may always wait for
// minWaitObjectiveShare of its objective, because one whose run alone takes most of the objective would otherwise
// count as late almost at once.
func (j *Job) latestStart(first time.Duration) time.Duration {
	left := max(j.LatencyObjective-first, time.Duration(minWaitObjectiveShare*float64(j.LatencyObjective)))
	return j.Arrived - j.Elapsed + left
}
