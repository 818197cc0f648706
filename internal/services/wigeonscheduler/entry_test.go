package wigeonscheduler

import (
	"flag"
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// entryModel drives the reducer with events in random order and tracks what callers, endpoints and the claim store may
// have observed.
type entryModel struct {
	state State
	now   time.Time
	ask   wigeonshift.PermitRequest
	claim *wigeonshift.Claim
	// tokens is the number of the last permit and the source of its token.
	tokens int
	run    int
	// mayHaveRun is set while an endpoint may have run the request and has not proved otherwise.
	mayHaveRun bool
	// mayHaveBegun is set once an endpoint may have read the first byte, resumed while the last run is a resume.
	mayHaveBegun, resumed bool
	// delivered is the number of tokens delivered to the caller.
	delivered     int
	claimWritten  bool
	answers       []AnswerCaller
	settledStates []wigeonshift.ClaimState
}

// newEntryModel draws a model stream, a non-idempotent call or an idempotent call.
func newEntryModel(t *rapid.T) *entryModel {
	m := &entryModel{
		state: State{Entry: &EntryState{}},
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		ask:   wigeonshift.PermitRequest{ID: "r", Shard: "p/s/r/0", Fingerprint: 7},
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		m.ask.Model = "m"
	case 1:
		m.ask.NonIdempotent = true
		m.claim = &wigeonshift.Claim{Key: "k", Token: "c", Fingerprint: 7, State: wigeonshift.ClaimHeld}
	}
	return m
}

// nextEvent draws an event that could arrive now, from the newest run or the one before it.
func (m *entryModel) nextEvent(t *rapid.T) EventBody {
	id := m.ask.ID
	run := max(0, m.run-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "older"))
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.tokens++
		p := &wigeonshift.Permit{Request: id, Endpoint: "e", Token: m.token(), ExpiresAt: m.now.Add(time.Second)}
		if rapid.IntRange(0, 5).Draw(t, "void") == 0 {
			p.ExpiresAt = m.now.Add(-time.Second)
		}
		return PermitAnswered{Request: id, Answer: wigeonshift.PermitAnswer{Grant: p}}
	case 1:
		action := rapid.SampledFrom([]wigeonshift.RevokeAction{
			wigeonshift.RevokePause, wigeonshift.RevokeResume, wigeonshift.RevokeCancel,
		}).Draw(t, "action")
		v := &wigeonshift.Revocation{Request: id, Token: m.token(), Action: action}
		return PermitAnswered{Request: id, Answer: wigeonshift.PermitAnswer{Revoke: v}}
	case 2:
		return PermitAnswered{Request: id, Answer: wigeonshift.PermitAnswer{Refuse: &wigeonshift.Refusal{Reason: wigeonshift.ReasonQueueFull}}}
	case 3:
		outcome := rapid.SampledFrom([]ClaimOutcome{
			ClaimWritten, ClaimWritten, ClaimExists,
			ClaimRefused, ClaimUnknown,
		}).Draw(t, "claim")
		return ClaimAnswered{Request: id, Outcome: outcome, Existing: wigeonshift.Claim{Fingerprint: 7}}
	case 4:
		return AttemptStarted{Request: id, Run: run}
	case 5:
		return AttemptProgressed{Request: id, Run: run, TokensDone: m.delivered + 1}
	case 6, 7:
		outcome := rapid.SampledFrom([]AttemptOutcome{
			OutcomeFinished, OutcomePaused, OutcomeNotRun, OutcomeNotRun,
			OutcomeLost, OutcomeFailed, OutcomeMismatch,
		}).Draw(t, "outcome")
		return AttemptEnded{Request: id, Run: run, Outcome: outcome, TokensDone: m.delivered}
	case 8:
		return PauseFailed{Request: id, Run: run}
	default:
		return rapid.SampledFrom([]EventBody{
			CallerDisconnected{Request: id}, DeadlineReached{Request: id},
			PermitFailed{Request: id}, EntryDrainStarted{}, Displaced{Request: id},
			CallerArrived{PermitRequest: m.ask, Claim: m.claim},
		}).Draw(t, "other")
	}
}

// token returns the token of the latest permit.
func (m *entryModel) token() wigeonshift.AttemptToken {
	return wigeonshift.AttemptToken(fmt.Sprint(m.tokens))
}

// recordEvent updates the model with the observable consequences of an event before the reducer handles it.
func (m *entryModel) recordEvent(b EventBody) {
	switch b := b.(type) {
	case AttemptStarted:
		m.mayHaveBegun = m.mayHaveBegun || b.Run == m.run && m.mayHaveRun
	case AttemptProgressed:
		if b.Run == m.run && m.mayHaveRun {
			m.delivered = b.TokensDone
		}
	case AttemptEnded:
		if b.Run == m.run && b.Outcome == OutcomeNotRun && m.delivered == 0 && !m.resumed {
			m.mayHaveRun = false
		}
	}
}

// checkEffects updates the model with the effects and fails if one breaks a guarantee.
func (m *entryModel) checkEffects(g Gomega, effects []Effect) {
	for i, e := range effects {
		switch e := e.(type) {
		case RequestPermit:
			g.Expect(m.answers).To(BeEmpty(), "asked for a permit after the caller was answered")
		case Dispatch:
			g.Expect(m.mayHaveRun).To(BeFalse(), "dispatched again without proof that the request did not run")
			g.Expect(m.claim == nil || m.claimWritten).To(BeTrue(), "dispatched before its claim was written")
			g.Expect(e.Run).To(BeNumerically(">", m.run))
			g.Expect(m.claim != nil && m.mayHaveBegun).To(BeFalse(), "dispatched a non-idempotent request again after its first byte was sent")
			m.mayHaveRun, m.resumed, m.run = true, false, e.Run
		case ResumeStream:
			g.Expect(m.ask.Model).NotTo(BeEmpty())
			g.Expect(m.mayHaveRun).To(BeTrue())
			g.Expect(e.Run).To(BeNumerically(">", m.run))
			g.Expect(e.Offset).To(Equal(m.delivered))
			m.resumed, m.run = true, e.Run
		case SettleClaim:
			g.Expect(m.mayHaveRun).To(Equal(e.Claim.State == wigeonshift.ClaimDone))
			m.settledStates = append(m.settledStates, e.Claim.State)
		case AnswerCaller:
			g.Expect(i).To(Equal(len(effects) - 1))
			m.answers = append(m.answers, e)
			if e.Refusal != nil && e.Refusal.State == wigeonshift.NotRun {
				g.Expect(m.mayHaveRun).To(BeFalse(), "reported notRun although the request may have run")
			}
			if e.Refusal != nil && m.delivered > 0 {
				g.Expect(e.Refusal.State).To(Equal(wigeonshift.Ran))
			}
		}
	}
}

// step applies one event to the reducer and checks its effects.
func (m *entryModel) step(g Gomega, b EventBody) {
	if len(m.answers) > 0 {
		if _, ok := b.(CallerArrived); ok {
			return // request IDs are never reused
		}
	}
	m.now = m.now.Add(time.Millisecond)
	m.recordEvent(b)
	if a, ok := b.(ClaimAnswered); ok && a.Outcome == ClaimWritten {
		m.claimWritten = true
	}
	effects := Reduce(&m.state, Event{At: m.now, Body: b})
	m.checkEffects(g, effects)
}

var _ = Describe("The reducer of accepted requests", func() {
	It("dispatches at most once and answers exactly once for any order of events", func() {
		Expect(flag.Set("rapid.seed", "20261203")).To(Succeed())
		Expect(flag.Set("rapid.checks", "5000")).To(Succeed())
		rapid.Check(suiteT, func(t *rapid.T) {
			g := NewWithT(t)
			m := newEntryModel(t)
			m.step(g, CallerArrived{PermitRequest: m.ask, Claim: m.claim})
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				b := m.nextEvent(t)
				m.step(g, b)
				if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
					m.step(g, b)
				}
			}
			// The last events are the deadline and the end of a run that continues after it.
			m.step(g, DeadlineReached{Request: m.ask.ID})
			g.Expect(m.answers).To(HaveLen(1))
			m.step(g, AttemptEnded{Request: m.ask.ID, Run: m.run, Outcome: OutcomeLost})
			g.Expect(m.answers).To(HaveLen(1))
			g.Expect(len(m.settledStates)).To(BeNumerically("<=", 1))
			g.Expect(m.state.Entry.Requests).To(BeEmpty())
		})
	})

	It("displaces the newest request of the lowest tier when the instance is full", func() {
		st := State{Entry: &EntryState{MaxRequests: 3}}
		arrive := func(id string, product string, rank wigeonshift.TierRank) []Effect {
			return Reduce(&st, Event{Body: CallerArrived{PermitRequest: wigeonshift.PermitRequest{
				ID: wigeonshift.RequestID(id), Product: product, Rank: rank,
			}}})
		}
		for i, rank := range []wigeonshift.TierRank{2, 2, 1} {
			Expect(arrive(fmt.Sprint(i), "p", rank)).To(HaveLen(1))
		}
		full := refusalEffects(wigeonshift.ReasonTooManyRequests, wigeonshift.NotRun, retryAfterDefault)
		Expect(arrive("same", "p", 2)).To(Equal(full))
		Expect(arrive("other product", "q", 0)).To(Equal(full))
		Expect(arrive("3", "p", 1)).To(ContainElement(Displace{Request: "1"}))
		Expect(arrive("4", "p", 0)).To(ContainElement(Displace{Request: "0"}))
		Expect(arrive("5", "p", 0)).To(ContainElement(Displace{Request: "3"}))
		Expect(arrive("6", "p", 0)).To(ContainElement(Displace{Request: "2"}))
		Expect(arrive("7", "p", 0)).To(Equal(full))
		for _, id := range []wigeonshift.RequestID{"0", "1", "2", "3"} {
			effects := Reduce(&st, Event{Body: Displaced{Request: id}})
			Expect(effects[len(effects)-1]).To(Equal(AnswerCaller{Refusal: &wigeonshift.Refusal{
				Reason: wigeonshift.ReasonPreempted, State: wigeonshift.NotRun, RetryAfter: retryAfterDefault,
			}}))
		}
		Expect(st.Entry.Requests).To(HaveLen(3))
	})
})
