package wigeonbroker

import (
	"time"

	"wigeonshift"
)

// answerBufferSize is the number of answers that a session buffers for its reader.
const answerBufferSize = 32

// sessionState is the state of one permit request.
type sessionState int

const (
	// stateWaiting means that the owner has not answered yet.
	stateWaiting sessionState = iota
	// stateGranted means that a permit was granted and not used yet.
	stateGranted
	// stateRunning means that the permit was used and the attempt has not ended.
	stateRunning
	// stateEnded means that the request was refused, spilled or given up, or that its attempt has ended.
	stateEnded
)

// session implements wigeonshift.PermitSession. The broker's lock guards its fields.
type session struct {
	broker  *Broker
	shard   *shardState
	request wigeonshift.PermitRequest
	answers chan wigeonshift.PermitAnswer

	state        sessionState
	closed       bool
	permit       wigeonshift.Permit
	tokensDone   int
	paused       bool
	askSentAt    time.Time
	askedOwnerID string
	createdAt    time.Time
}

func newSession(broker *Broker, st *shardState, r wigeonshift.PermitRequest) *session {
	return &session{broker: broker, shard: st, request: r, answers: make(chan wigeonshift.PermitAnswer, answerBufferSize), createdAt: time.Now()}
}

// Answers returns the channel of the owner's answers. It is closed without an answer when no owner was found in time.
func (s *session) Answers() <-chan wigeonshift.PermitAnswer {
	return s.answers
}

// Report records the state of the attempt and sends it to the owner.
func (s *session) Report(r wigeonshift.AttemptReport) {
	s.broker.mu.Lock()
	defer s.broker.mu.Unlock()
	s.tokensDone = max(s.tokensDone, r.TokensDone)
	switch {
	case isFinal(r.State):
		s.state = stateEnded
	case r.State == wigeonshift.AttemptPaused:
		s.paused = true
	case r.State == wigeonshift.AttemptResumed:
		s.paused = false
	default:
		s.state = stateRunning
	}
	s.broker.sendReport(s.shard, r)
}

// Close ends the session. It cancels a request that still waits for its answer and returns an unused permit.
func (s *session) Close() {
	s.broker.mu.Lock()
	defer s.broker.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.shard.sessions[s.request.ID] == s {
		delete(s.shard.sessions, s.request.ID)
	}
	if s.state == stateWaiting && s.askedOwnerID != "" || s.state == stateGranted {
		if s.shard.ownerConfirmed {
			s.broker.sendToOwner(s.shard, wigeonshift.PermitCancel{Shard: s.shard.id, Request: s.request.ID})
		}
	}
	s.state = stateEnded
}

// closeAnswers ends the session by closing its Answers channel. The caller holds the broker's lock.
func (s *session) closeAnswers() {
	s.state = stateEnded
	delete(s.shard.sessions, s.request.ID)
	close(s.answers)
}

// holdsPermit reports whether the attempt is running or may start with a granted permit.
func (s *session) holdsPermit() bool {
	return s.state == stateGranted || s.state == stateRunning
}

// runningAttempt returns the description of the attempt for a RunningNotice.
func (s *session) runningAttempt() wigeonshift.RunningAttempt {
	return wigeonshift.RunningAttempt{
		Request: s.request, Token: s.permit.Token, Endpoint: s.permit.Endpoint, TokensDone: s.tokensDone,
		Paused: s.paused,
	}
}

// deliver passes an answer to the reader. It drops the answer if the buffer is full. The caller holds the broker's lock.
func (s *session) deliver(a wigeonshift.PermitAnswer) {
	select {
	case s.answers <- a:
	default:
		s.broker.scope.Counter("brokerAnswersDropped").Inc(1)
	}
}

// isFinal reports whether the state ends an attempt.
func isFinal(state wigeonshift.AttemptState) bool {
	switch state {
	case wigeonshift.AttemptFinished, wigeonshift.AttemptNotRun, wigeonshift.AttemptLost,
		wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		return true
	default:
		return false
	}
}
