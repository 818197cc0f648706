package wigeonload

import (
	"time"

	"wigeonshift"
)

// OutcomeKind classifies the result of a request as its caller sees it.
type OutcomeKind string

// Values of OutcomeKind.
const (
	// OutcomeGood is a complete, verified response before the deadline.
	OutcomeGood OutcomeKind = "good"
	// OutcomeLate is a complete, verified response after the deadline.
	OutcomeLate OutcomeKind = "late"
	// OutcomeRefused is a refusal with a reason.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeBroken is a connection that failed or timed out before the response was complete.
	OutcomeBroken OutcomeKind = "broken"
	// OutcomeUnreachable means that no connection to any node could be opened.
	OutcomeUnreachable OutcomeKind = "unreachable"
	// OutcomeWrong is a response that differs from the one expected for the request.
	OutcomeWrong OutcomeKind = "wrong"
)

// outcome is the result of one send of a request.
type outcome struct {
	kind    OutcomeKind
	status  int
	refusal refusal
	// text is the generated text, or the response body of a call.
	text string
	// detail describes the error of a broken or wrong response.
	detail string
	// firstToken is the first-token latency of a stream. It is 0 for other responses and for streams without text.
	firstToken time.Duration
	// frameGaps are the gaps between the frames of a stream that have text.
	frameGaps []frameGap
}

// frameGap is the time between two frames and the number of tokens in the second one.
type frameGap struct {
	duration time.Duration
	tokens   int
}

// refusal is the error in the body of a refusal.
type refusal struct {
	Reason       wigeonshift.RefusalReason `json:"reason"`
	State        wigeonshift.RunState      `json:"state"`
	RetryAfterMS int64                     `json:"retryAfterMs"`
	Message      string                    `json:"message"`
	RequestID    string                    `json:"requestId"`
}

// provenNotRun reports whether the request provably ran on no endpoint.
func (o *outcome) provenNotRun() bool {
	return o.kind == OutcomeUnreachable || o.kind == OutcomeRefused && o.refusal.State == wigeonshift.NotRun
}

// resendDelay returns the delay before the request may be sent again. ok is false if it should not be sent again.
func (o *outcome) resendDelay() (delay time.Duration, ok bool) {
	switch o.kind {
	case OutcomeRefused:
		return time.Duration(o.refusal.RetryAfterMS) * time.Millisecond, o.refusal.RetryAfterMS > 0
	case OutcomeBroken, OutcomeUnreachable:
		return defaultResendDelay, true
	default:
		return 0, false
	}
}

// defaultResendDelay is the delay before a resend when no node returned a retry delay.
const defaultResendDelay = 100 * time.Millisecond
