package wigeonentry_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/cenkalti/backoff/v5"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// fixedSource is the source of a configuration that does not change.
type fixedSource struct{ c *wigeonshift.Configuration }

func (s fixedSource) Current() *wigeonshift.Configuration { return s.c }
func (s fixedSource) Changed() <-chan struct{}            { return nil }

func testConfiguration() *wigeonshift.Configuration {
	endpoints := map[string]wigeonshift.EndpointSpec{
		"a": {Address: "a", Region: "r"}, "b": {Address: "b", Region: "r"},
		"gone": {Address: "gone", Region: "r", State: wigeonshift.EndpointLeaving},
	}
	return &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{"p": {
		Tiers: map[string]wigeonshift.Tier{
			"high": {Rank: 0, DefaultDeadlineMS: 30_000}, "low": {Rank: 1, DefaultDeadlineMS: 60_000},
		},
		Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"low", "high"}}, "poor": {Tiers: []string{"low"}}},
		Services: map[string]wigeonshift.Service{
			"chat":  {Kind: wigeonshift.ServiceModel, Models: []string{"m"}, Endpoints: endpoints},
			"store": {Kind: wigeonshift.ServicePlain, NonIdempotentMethods: []string{"POST"}, Endpoints: endpoints},
		},
	}}}
}

// textSink collects an answer. Each write takes delay.
type textSink struct {
	text  strings.Builder
	delay time.Duration
}

func (s *textSink) Write(ctx context.Context, text string) error {
	select {
	case <-time.After(s.delay):
		s.text.WriteString(text)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runScript runs a script against a service in virtual time and returns the recorded session.
func runScript(sc script) (s session) {
	synctest.Test(suiteT, func(t *testing.T) { s = runScriptInBubble(NewWithT(t), sc) })
	return s
}

// runScriptInBubble must run in a synctest bubble.
func runScriptInBubble(g *WithT, sc script) session {
	st := &fakeState{
		script: sc, start: time.Now(), closed: make(chan struct{}), runCounts: map[string]int{},
		rows: map[string]wigeonshift.Claim{}, pauses: map[wigeonshift.AttemptToken]chan struct{}{},
	}
	scope := tally.NewTestScope("", nil)
	settings := wigeonentry.DefaultSettings()
	if sc.MaxConcurrent > 0 {
		settings.MaxConcurrent = sc.MaxConcurrent
	}
	service := wigeonentry.New(wigeonshift.Instance{ID: "i", Region: "r"}, fixedSource{testConfiguration()},
		fakeBroker{st}, fakeDialer{st}, fakeClaims{st}, wigeonentry.WithScope(scope), wigeonentry.WithSettings(settings),
		wigeonentry.WithBackOff(func() backoff.BackOff { return backoff.NewConstantBackOff(time.Second) }))
	answers := make([]sessionAnswer, len(sc.Callers))
	var callers sync.WaitGroup
	for i, c := range sc.Callers {
		callers.Go(func() {
			time.Sleep(time.Duration(c.AtMS) * time.Millisecond)
			answers[i] = sendRequest(service, st, c)
		})
	}
	if sc.DrainAtMS > 0 {
		callers.Go(func() {
			time.Sleep(time.Duration(sc.DrainAtMS) * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(sc.DrainTimeoutMS)*time.Millisecond)
			defer cancel()
			err := service.Drain(ctx)
			st.record("operator", "drained", err == nil)
		})
	}
	callers.Wait()
	close(st.closed)
	g.Expect(service.Stop(context.Background())).To(Succeed())
	g.Expect(service.InFlight()).To(BeZero())
	synctest.Wait()
	return st.recordedSession(answers, scope)
}

// sendRequest sends a caller's request to the service and returns its answer.
func sendRequest(service *wigeonentry.Service, st *fakeState, c callerScript) sessionAnswer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.DisconnectMS > 0 {
		t := time.AfterFunc(time.Duration(c.DisconnectMS)*time.Millisecond, cancel)
		defer t.Stop()
	}
	r := wigeonentry.Request{
		Product: "p", Organisation: "o", Tier: c.Tier, IdempotencyKey: c.Key,
		Timeout: time.Duration(c.TimeoutMS) * time.Millisecond,
	}
	if c.Model != "" {
		r.Generate = &wigeonentry.Generate{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens}
	} else {
		r.Call = &wigeonentry.Call{Service: c.Service, Method: c.Method, Path: c.Path, Body: []byte(c.Body)}
	}
	st.record("caller", "request", c)
	sink := textSink{delay: time.Duration(c.WriteDelayMS) * time.Millisecond}
	result := service.Do(ctx, r, &sink)
	a := sessionAnswer{
		Request: result.ID, AtMS: time.Since(st.start).Milliseconds(), Text: sink.text.String(),
		Finish: result.Generated.Finish, Status: result.Answer.Status, Body: string(result.Answer.Body), Replayed: result.Replayed,
	}
	if f := result.Refusal; f != nil {
		a.Reason, a.State, a.RetryAfterMS = f.Reason, f.State, f.RetryAfter.Milliseconds()
	}
	return a
}

// recordedSession returns the session with its trace sorted by time and actor.
func (st *fakeState) recordedSession(answers []sessionAnswer, scope tally.TestScope) session {
	slices.SortStableFunc(st.trace, func(a, b traceEntry) int {
		if a.AtMS != b.AtMS {
			return int(a.AtMS - b.AtMS)
		}
		return strings.Compare(a.Actor, b.Actor)
	})
	counters := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		name := c.Name()
		for _, tag := range []string{"reason", "tier"} {
			if value := c.Tags()[tag]; value != "" {
				name += "/" + value
			}
		}
		counters[name] = c.Value()
	}
	return session{Trace: st.trace, Answers: answers, Counters: counters}
}

// actions returns the actions of one actor in the order of their times.
func (s session) actions(actor string) []string {
	var actions []string
	for _, e := range s.Trace {
		if e.Actor == actor {
			actions = append(actions, e.Action)
		}
	}
	return actions
}
