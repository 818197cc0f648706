package wigeonentry_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"wigeonshift"
)

// fakeState is the state that the fakes of one session share.
type fakeState struct {
	script script
	start  time.Time
	closed chan struct{}

	mu          sync.Mutex
	trace       []traceEntry
	askCount    int
	runCounts   map[string]int
	claimCount  int
	settleCount int
	rows        map[string]wigeonshift.Claim
	pauses      map[wigeonshift.AttemptToken]chan struct{}
}

func (st *fakeState) record(actor, action string, detail any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.trace = append(st.trace, traceEntry{time.Since(st.start).Milliseconds(), actor, action, detail})
}

// wait waits for a number of milliseconds. It returns false if the context or the session ended first.
func (st *fakeState) wait(ctx context.Context, ms int64) bool {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-ctx.Done():
	case <-st.closed:
	}
	return false
}

// fakeBroker answers permit requests with the owner's steps of the script.
type fakeBroker struct{ *fakeState }

type fakeSession struct {
	*fakeState
	ask     wigeonshift.PermitRequest
	number  int
	answers chan wigeonshift.PermitAnswer
	cancel  context.CancelFunc
}

func (b fakeBroker) RequestPermit(_ context.Context, r wigeonshift.PermitRequest) (wigeonshift.PermitSession, error) {
	b.record("owner "+string(r.ID), "ask", askDetail{
		r.ID, r.Shard, r.Tier, r.Rank, r.PromptTokens, r.MaxTokens,
		r.Deadline.Sub(b.start).Milliseconds(), r.Attempt, r.Avoid, r.SpillCount,
	})
	b.mu.Lock()
	s := &fakeSession{fakeState: b.fakeState, ask: r, number: b.askCount, answers: make(chan wigeonshift.PermitAnswer, 8)}
	b.askCount++
	b.mu.Unlock()
	steps := b.script.Asks[s.number]
	if len(steps) > 0 && steps[0].Fail {
		return nil, wigeonshift.ErrNoOwner
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.runSteps(ctx, steps)
	return s, nil
}

func (s *fakeSession) runSteps(ctx context.Context, steps []ownerStep) {
	token := wigeonshift.AttemptToken(fmt.Sprintf("t%d", s.number+1))
	for _, step := range steps {
		if !s.wait(ctx, step.AfterMS) {
			return
		}
		switch {
		case step.Grant != "":
			p := &wigeonshift.Permit{
				Request: s.ask.ID, Shard: s.ask.Shard, Epoch: 1, Endpoint: step.Grant, Address: step.Grant,
				Token: token, ExpiresAt: time.Now().Add(time.Second),
			}
			if step.Expired {
				p.ExpiresAt = time.Now().Add(-time.Second)
			}
			s.record("owner "+string(s.ask.ID), "grant", runDetail{Token: token, Text: step.Grant})
			s.answers <- wigeonshift.PermitAnswer{Grant: p}
		case step.Refuse != "":
			s.record("owner "+string(s.ask.ID), "refuse", step.Refuse)
			s.answers <- wigeonshift.PermitAnswer{Refuse: &wigeonshift.Refusal{
				Reason: step.Refuse, State: wigeonshift.NotRun, RetryAfter: 1500 * time.Millisecond,
			}}
		case step.Revoke != "":
			s.record("owner "+string(s.ask.ID), "revoke", step.Revoke)
			s.answers <- wigeonshift.PermitAnswer{Revoke: &wigeonshift.Revocation{
				Request: s.ask.ID, Token: token, Epoch: 1, Action: step.Revoke,
			}}
		case step.Spill != "":
			s.answers <- wigeonshift.PermitAnswer{Spill: &step.Spill}
		case step.Lost:
			close(s.answers)
			return
		}
	}
}

func (s *fakeSession) Answers() <-chan wigeonshift.PermitAnswer { return s.answers }

func (s *fakeSession) Report(r wigeonshift.AttemptReport) {
	s.record("owner "+string(s.ask.ID), "report "+string(r.State), reportDetail{
		r.Token, r.Endpoint, r.TokensDone, r.Elapsed.Milliseconds(), r.ConnectRefused,
	})
}

func (s *fakeSession) Close() {
	s.record("owner "+string(s.ask.ID), "close", nil)
	s.cancel()
}

// fakeDialer returns endpoints that answer with the runs of the script.
type fakeDialer struct{ *fakeState }

func (d fakeDialer) Endpoint(address string) wigeonshift.Endpoint {
	return &fakeEndpoint{fakeState: d.fakeState, address: address}
}

type fakeEndpoint struct {
	wigeonshift.Endpoint
	*fakeState
	address string
}

var scriptErrors = map[string]error{
	"notRun":         wigeonshift.ErrNotRun,
	"connectRefused": errors.Join(wigeonshift.ErrNotRun, syscall.ECONNREFUSED),
	"lost":           wigeonshift.ErrEndpointLost,
	"silent":         wigeonshift.ErrProgressTimeout,
	"mismatch":       wigeonshift.ErrAnswerMismatch,
	"failed":         errors.New("status 500"),
	"unavailable":    wigeonshift.ErrUnavailable,
	"unknown":        wigeonshift.ErrOutcomeUnknown,
	"unknownWritten": wigeonshift.ErrOutcomeUnknown,
	"throttled":      wigeonshift.ErrThrottled,
}

// runSteps runs the endpoint's next list of steps and returns the step that ended it.
func (e *fakeEndpoint) runSteps(ctx context.Context, action string, token wigeonshift.AttemptToken, offset int,
	onStart func(), sink func(wigeonshift.Chunk) error,
) (end runStep, done int, err error) {
	e.record(e.address, action, runDetail{Token: token, Offset: offset})
	defer func() {
		if err != nil {
			e.record(e.address, action+" ended", runDetail{Token: token, Error: err.Error()})
		}
	}()
	e.mu.Lock()
	steps := e.script.Runs[e.address][e.runCounts[e.address]]
	e.runCounts[e.address]++
	paused := make(chan struct{})
	e.pauses[token] = paused
	e.mu.Unlock()
	if onStart != nil && !steps[0].Unstarted {
		onStart()
	}
	for _, step := range steps {
		if !e.wait(ctx, step.AfterMS) {
			return step, offset, context.Cause(ctx)
		}
		switch {
		case step.Error != "":
			return step, offset, scriptErrors[step.Error]
		case step.Silent, step.IgnoreCancel:
			if step.IgnoreCancel {
				ctx = context.Background()
			}
			e.wait(ctx, time.Hour.Milliseconds())
			if step.IgnoreCancel {
				// A late chunk of a run that was replaced or cancelled.
				err := sink(wigeonshift.Chunk{Token: token, Offset: offset, Count: 1, Text: "late"})
				return step, offset, err
			}
			return step, offset, context.Cause(ctx)
		case step.AwaitPause:
			select {
			case <-paused:
				return runStep{Finish: string(wigeonshift.FinishPaused)}, offset, nil
			case <-ctx.Done():
				return step, offset, ctx.Err()
			}
		case step.Text != "":
			c := wigeonshift.Chunk{Token: token, Offset: offset, Count: 1, Text: step.Text}
			if step.Token != "" {
				c.Token = wigeonshift.AttemptToken(step.Token)
			}
			if step.Offset != nil {
				c.Offset = *step.Offset
			}
			e.record(e.address, "chunk", runDetail{Token: c.Token, Offset: c.Offset, Text: c.Text})
			if err := sink(c); err != nil {
				return step, offset, err
			}
			offset++
		default:
			return step, offset + step.ExtraTokens, nil
		}
	}
	return runStep{}, offset, errors.New("script ended")
}

func (e *fakeEndpoint) stream(ctx context.Context, action string, token wigeonshift.AttemptToken, offset int, onStart func(),
	sink func(wigeonshift.Chunk) error,
) (wigeonshift.GenerateResult, error) {
	end, done, err := e.runSteps(ctx, action, token, offset, onStart, sink)
	if end.Token != "" {
		token = wigeonshift.AttemptToken(end.Token)
	}
	if err == nil {
		e.record(e.address, end.Finish, runDetail{Token: token, Offset: done})
	}
	return wigeonshift.GenerateResult{Token: token, Finish: wigeonshift.FinishReason(end.Finish), TokensDone: done}, err
}

func (e *fakeEndpoint) Generate(ctx context.Context, r wigeonshift.GenerateRequest, onStart func(), sink func(wigeonshift.Chunk) error) (wigeonshift.GenerateResult, error) {
	return e.stream(ctx, "generate", r.Token, 0, onStart, sink)
}

func (e *fakeEndpoint) Resume(ctx context.Context, token wigeonshift.AttemptToken, offset int, sink func(wigeonshift.Chunk) error) (wigeonshift.GenerateResult, error) {
	return e.stream(ctx, "resume", token, offset, nil, sink)
}

func (e *fakeEndpoint) Call(ctx context.Context, c wigeonshift.ServiceCall, onStart func()) (wigeonshift.ServiceAnswer, error) {
	action := "call " + c.Method + " " + c.Path
	if c.NonIdempotent {
		action += " once"
	}
	end, _, err := e.runSteps(ctx, action, c.Token, 0, onStart, func(wigeonshift.Chunk) error { return nil })
	token := c.Token
	if end.Token != "" {
		token = wigeonshift.AttemptToken(end.Token)
	}
	return wigeonshift.ServiceAnswer{Token: token, Status: end.Status, Body: []byte(end.Body)}, err
}

func (e *fakeEndpoint) Pause(_ context.Context, token wigeonshift.AttemptToken) error {
	e.record(e.address+" control", "pause", runDetail{Token: token})
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.pauses[token])
	return nil
}

func (e *fakeEndpoint) Cancel(_ context.Context, token wigeonshift.AttemptToken) error {
	e.record(e.address+" control", "cancel", runDetail{Token: token})
	return nil
}

// fakeClaims is a claim store whose calls fail as the script says.
type fakeClaims struct{ *fakeState }

// nextResult returns the script's next result for a call with its error, or success after the end of the list.
func nextResult(results []string, count *int) (string, error) {
	*count++
	if *count > len(results) {
		return "", nil
	}
	return results[*count-1], scriptErrors[results[*count-1]]
}

func (f fakeClaims) Claim(_ context.Context, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	f.record("store", "claim", c.Key)
	f.mu.Lock()
	defer f.mu.Unlock()
	result, err := nextResult(f.script.Claims, &f.claimCount)
	if err != nil && result != "unknownWritten" {
		return wigeonshift.Claim{}, err
	}
	if old, ok := f.rows[c.Key]; ok && old.State != wigeonshift.ClaimReleased {
		return old, wigeonshift.ErrAlreadyClaimed
	}
	f.rows[c.Key] = c
	return wigeonshift.Claim{}, err
}

func (f fakeClaims) Settle(_ context.Context, c wigeonshift.Claim) error {
	f.record("store", "settle "+string(c.State), c.Key)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := nextResult(f.script.Settles, &f.settleCount); err != nil {
		return err
	}
	if old, ok := f.rows[c.Key]; ok && old.Token == c.Token {
		f.rows[c.Key] = c
	}
	return nil
}
