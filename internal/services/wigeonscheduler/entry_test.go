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

// entryModel drives the reducer with events in any order and keeps what the outside world can have seen.
type entryModel struct {
	state State
	now   time.Time
	ask   wigeonshift.PermitRequest
	claim *wigeonshift.Claim
	// tokens numbers the permits.
	tokens int
	run    int
	// touched is set while an endpoint may have read the request and has not proved otherwise.
	touched bool
	// began is set once a first byte may have been read, resumed while the last run is a resume.
	began, resumed bool
	delivered      int
	claimed        bool
	answers        []AnswerCaller
	settled        []wigeonshift.ClaimState
}

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

// next draws an event that the shell could send now, from the newest run or an older one.
func (m *entryModel) next(t *rapid.T) Body {
	id := m.ask.ID
	run := max(0, m.run-rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "older"))
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.tokens++
		p := &wigeonshift.Permit{Request: id, Endpoint: "e", Token: m.token(), UseBefore: m.now.Add(time.Second)}
		if rapid.IntRange(0, 5).Draw(t, "void") == 0 {
			p.UseBefore = m.now.Add(-time.Second)
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
		return AttemptBegan{Request: id, Run: run}
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
		return rapid.SampledFrom([]Body{
			CallerGone{Request: id}, DeadlineReached{Request: id},
			PermitFailed{Request: id}, EntryDrainStarted{}, Displaced{Request: id},
			CallerArrived{Ask: m.ask, Claim: m.claim},
		}).Draw(t, "other")
	}
}

func (m *entryModel) token() wigeonshift.AttemptToken {
	return wigeonshift.AttemptToken(fmt.Sprint(m.tokens))
}

// observe keeps what an event means outside before the reducer sees it.
func (m *entryModel) observe(b Body) {
	switch b := b.(type) {
	case AttemptBegan:
		m.began = m.began || b.Run == m.run && m.touched
	case AttemptProgressed:
		if b.Run == m.run && m.touched {
			m.delivered = b.TokensDone
		}
	case AttemptEnded:
		if b.Run == m.run && b.Outcome == OutcomeNotRun && m.delivered == 0 && !m.resumed {
			m.touched = false
		}
	}
}

// check fails if an effect breaks a promise.
func (m *entryModel) check(g Gomega, effects []Effect) {
	for i, e := range effects {
		switch e := e.(type) {
		case AskPermit:
			g.Expect(m.answers).To(BeEmpty(), "asked for a permit without a caller")
		case Dispatch:
			g.Expect(m.touched).To(BeFalse(), "dispatched again without proof")
			g.Expect(m.claim == nil || m.claimed).To(BeTrue(), "dispatched without its claim")
			g.Expect(e.Run).To(BeNumerically(">", m.run))
			g.Expect(m.claim != nil && m.began).To(BeFalse(), "repeated a non-idempotent request")
			m.touched, m.resumed, m.run = true, false, e.Run
		case ResumeStream:
			g.Expect(m.ask.Model).NotTo(BeEmpty())
			g.Expect(m.touched).To(BeTrue())
			g.Expect(e.Run).To(BeNumerically(">", m.run))
			g.Expect(e.Offset).To(Equal(m.delivered))
			m.resumed, m.run = true, e.Run
		case SettleClaim:
			g.Expect(m.touched).To(Equal(e.Claim.State == wigeonshift.ClaimDone))
			m.settled = append(m.settled, e.Claim.State)
		case AnswerCaller:
			g.Expect(i).To(Equal(len(effects) - 1))
			m.answers = append(m.answers, e)
			if e.Refusal != nil && e.Refusal.State == wigeonshift.NotRun {
				g.Expect(m.touched).To(BeFalse(), "claimed not to have run")
			}
			if e.Refusal != nil && m.delivered > 0 {
				g.Expect(e.Refusal.State).To(Equal(wigeonshift.Ran))
			}
		}
	}
}

func (m *entryModel) step(g Gomega, b Body) {
	if len(m.answers) > 0 {
		if _, ok := b.(CallerArrived); ok {
			return // ids are never reused
		}
	}
	m.now = m.now.Add(time.Millisecond)
	m.observe(b)
	if a, ok := b.(ClaimAnswered); ok && a.Outcome == ClaimWritten {
		m.claimed = true
	}
	effects := Reduce(&m.state, Event{At: m.now, Body: b})
	m.check(g, effects)
}

var _ = Describe("The entry side of the reducer", func() {
	It("dispatches at most once and answers exactly once whatever the order of events", func() {
		Expect(flag.Set("rapid.seed", "20261203")).To(Succeed())
		Expect(flag.Set("rapid.checks", "5000")).To(Succeed())
		rapid.Check(suiteT, func(t *rapid.T) {
			g := NewWithT(t)
			m := newEntryModel(t)
			m.step(g, CallerArrived{Ask: m.ask, Claim: m.claim})
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				b := m.next(t)
				m.step(g, b)
				if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
					m.step(g, b)
				}
			}
			// Nothing comes any more but the deadline, and the end of a run that goes on after it.
			m.step(g, DeadlineReached{Request: m.ask.ID})
			g.Expect(m.answers).To(HaveLen(1))
			m.step(g, AttemptEnded{Request: m.ask.ID, Run: m.run, Outcome: OutcomeLost})
			g.Expect(m.answers).To(HaveLen(1))
			g.Expect(len(m.settled)).To(BeNumerically("<=", 1))
			g.Expect(m.state.Entry.Requests).To(BeEmpty())
		})
	})

	It("lets the newest request of the lowest tier give way when the instance is full", func() {
		st := State{Entry: &EntryState{MaxRequests: 3}}
		arrive := func(id string, product string, rank wigeonshift.TierRank) []Effect {
			return Reduce(&st, Event{Body: CallerArrived{Ask: wigeonshift.PermitRequest{
				ID: wigeonshift.RequestID(id), Product: product, Rank: rank,
			}}})
		}
		for i, rank := range []wigeonshift.TierRank{2, 2, 1} {
			Expect(arrive(fmt.Sprint(i), "p", rank)).To(HaveLen(1))
		}
		full := refusal(wigeonshift.ReasonTooMany, wigeonshift.NotRun, retryAfterDefault)
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
