package wigeonbroker

import (
	"time"

	"wigeonshift"
)

// answerBuffer is the number of answers that a session holds for its reader.
const answerBuffer = 32

// sessionState is the state of one question.
type sessionState int

const (
	// stateWaiting means that no answer has come yet.
	stateWaiting sessionState = iota
	// stateGranted means that a permit is held and not yet spent.
	stateGranted
	// stateRunning means that the permit was spent.
	stateRunning
	// stateEnded means that nothing more is to come.
	stateEnded
)

// session implements wigeonshift.PermitSession. The broker's lock guards its fields.
type session struct {
	b       *Broker
	shard   *shard
	request wigeonshift.PermitRequest
	answers chan wigeonshift.PermitAnswer

	state      sessionState
	closed     bool
	permit     wigeonshift.Permit
	tokensDone int
	paused     bool
	askedAt    time.Time
	askedOwner string
	createdAt  time.Time
}

func newSession(b *Broker, st *shard, r wigeonshift.PermitRequest) *session {
	return &session{b: b, shard: st, request: r, answers: make(chan wigeonshift.PermitAnswer, answerBuffer), createdAt: time.Now()}
}

// Answers delivers the owner's answers. It is closed without an answer when no owner was found in time.
func (s *session) Answers() <-chan wigeonshift.PermitAnswer {
	return s.answers
}

// Report tells the owner what became of the attempt.
func (s *session) Report(r wigeonshift.AttemptReport) {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.tokensDone = max(s.tokensDone, r.TokensDone)
	switch {
	case final(r.State):
		s.state = stateEnded
	case r.State == wigeonshift.AttemptPaused:
		s.paused = true
	case r.State == wigeonshift.AttemptResumed:
		s.paused = false
	default:
		s.state = stateRunning
	}
	s.b.sendReport(s.shard, r)
}

// Close ends the session; an unspent grant is given back.
func (s *session) Close() {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.shard.sessions[s.request.ID] == s {
		delete(s.shard.sessions, s.request.ID)
	}
	if s.state == stateWaiting && s.askedOwner != "" || s.state == stateGranted {
		if s.shard.confirmed {
			s.b.sendOwner(s.shard, wigeonshift.PermitCancel{Shard: s.shard.id, Request: s.request.ID})
		}
	}
	s.state = stateEnded
}

// finish closes the answers; the caller holds the broker's lock.
func (s *session) finish() {
	s.state = stateEnded
	delete(s.shard.sessions, s.request.ID)
	close(s.answers)
}

// running tells whether the attempt is in flight or about to be.
func (s *session) running() bool {
	return s.state == stateGranted || s.state == stateRunning
}

// attempt describes the attempt in flight.
func (s *session) attempt() wigeonshift.RunningAttempt {
	return wigeonshift.RunningAttempt{
		Request: s.request, Token: s.permit.Token, Endpoint: s.permit.Endpoint, TokensDone: s.tokensDone,
		Paused: s.paused,
	}
}

// deliver hands an answer to the reader; the caller holds the broker's lock.
func (s *session) deliver(a wigeonshift.PermitAnswer) {
	select {
	case s.answers <- a:
	default:
		s.b.scope.Counter("brokerAnswersDropped").Inc(1)
	}
}

// final tells whether a report is the last one of its attempt.
func final(state wigeonshift.AttemptState) bool {
	switch state {
	case wigeonshift.AttemptFinished, wigeonshift.AttemptNotRun, wigeonshift.AttemptLost,
		wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		return true
	default:
		return false
	}
}
