package wigeonload

import (
	"time"

	"wigeonshift"
)

// Ending is how a request ended for its caller.
type Ending string

// Endings of requests.
const (
	// EndingGood is a whole, verified answer in time.
	EndingGood Ending = "good"
	// EndingLate is a whole, verified answer after the deadline.
	EndingLate Ending = "late"
	// EndingRefused is an honest refusal.
	EndingRefused Ending = "refused"
	// EndingBroken is a connection that broke or went silent before the answer was whole.
	EndingBroken Ending = "broken"
	// EndingUnreachable means that no node could be connected to.
	EndingUnreachable Ending = "unreachable"
	// EndingWrong is an answer that isn't the one to this request.
	EndingWrong Ending = "wrong"
)

// outcome is what became of one send.
type outcome struct {
	ending  Ending
	status  int
	refusal refusal
	// text is the answer.
	text string
	// detail says what was wrong.
	detail string
	// firstToken is the time to the first text of a stream; 0 when there was none.
	firstToken time.Duration
	// gaps are the times between the frames of a stream.
	gaps []gap
}

// gap is the time between two frames and the number of tokens that the latter brought.
type gap struct {
	time   time.Duration
	tokens int
}

// refusal is the body of a refusal of the callers' API.
type refusal struct {
	Reason       wigeonshift.RefusalReason `json:"reason"`
	State        wigeonshift.RunState      `json:"state"`
	RetryAfterMS int64                     `json:"retryAfterMs"`
	Message      string                    `json:"message"`
	RequestID    string                    `json:"requestId"`
}

// provedNotRun reports whether the request certainly reached no endpoint.
func (o *outcome) provedNotRun() bool {
	return o.ending == EndingUnreachable || o.ending == EndingRefused && o.refusal.State == wigeonshift.NotRun
}

// resend returns the wait before the request may be sent again; ok is false when it should not be.
func (o *outcome) resend() (wait time.Duration, ok bool) {
	switch o.ending {
	case EndingRefused:
		return time.Duration(o.refusal.RetryAfterMS) * time.Millisecond, o.refusal.RetryAfterMS > 0
	case EndingBroken, EndingUnreachable:
		return resendWait, true
	default:
		return 0, false
	}
}

// resendWait is the pause before a resend that nobody advised.
const resendWait = 100 * time.Millisecond
