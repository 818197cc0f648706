package wigeoncaller_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"wigeonshift"
)

type fixedSource struct{ c *wigeonshift.Configuration }

func (s fixedSource) Current() *wigeonshift.Configuration { return s.c }
func (s fixedSource) Changed() <-chan struct{}            { return nil }

func testConfiguration() *wigeonshift.Configuration {
	endpoints := map[string]wigeonshift.EndpointSpec{"a": {Address: "a", Region: "r"}}
	return &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{"p": {
		Tiers:         map[string]wigeonshift.Tier{"high": {DefaultDeadlineMS: 30_000}, "low": {Rank: 1, DefaultDeadlineMS: 30_000}},
		Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"low"}}},
		Services: map[string]wigeonshift.Service{
			"chat":  {Kind: wigeonshift.ServiceModel, Models: []string{"m"}, Endpoints: endpoints},
			"store": {Kind: wigeonshift.ServicePlain, NonIdempotentMethods: []string{"POST"}, Endpoints: endpoints},
		},
	}}}
}

// grantBroker immediately grants every request a permit for the endpoint at an address.
type grantBroker struct{ address string }

type grantSession chan wigeonshift.PermitAnswer

func (b grantBroker) RequestPermit(_ context.Context, r wigeonshift.PermitRequest) (wigeonshift.PermitSession, error) {
	s := make(grantSession, 1)
	s <- wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
		Request: r.ID, Shard: r.Shard, Endpoint: "a", Address: b.address,
		Token: wigeonshift.AttemptToken(fmt.Sprint(r.ID, "-", r.Attempt)), ExpiresAt: r.Deadline,
	}}
	return s, nil
}

func (s grantSession) Answers() <-chan wigeonshift.PermitAnswer { return s }
func (grantSession) Report(wigeonshift.AttemptReport)           {}
func (grantSession) Close()                                     {}

// fakeEngine responds with the words of the prompt. The word "break" fails the stream, "hang" waits until the request is
// cancelled and "flood" sends text without end.
type fakeEngine struct {
	wigeonshift.Endpoint
	cancelled chan wigeonshift.AttemptToken
	calls     chan wigeonshift.ServiceCall
}

// fixedDialer returns the same endpoint for every address.
type fixedDialer struct{ e wigeonshift.Endpoint }

func (d fixedDialer) Endpoint(string) wigeonshift.Endpoint { return d.e }

func (e *fakeEngine) Generate(ctx context.Context, r wigeonshift.GenerateRequest, onStart func(), sink func(wigeonshift.Chunk) error) (wigeonshift.GenerateResult, error) {
	onStart()
	done := 0
	for _, word := range strings.Fields(r.Prompt) {
		switch word {
		case "break":
			return wigeonshift.GenerateResult{}, errors.New("status 500")
		case "hang":
			<-ctx.Done()
			return wigeonshift.GenerateResult{}, ctx.Err()
		case "flood":
			for ; ; done++ {
				if err := sink(wigeonshift.Chunk{Token: r.Token, Offset: done, Count: 1, Text: strings.Repeat("x", 4096)}); err != nil {
					return wigeonshift.GenerateResult{}, err
				}
			}
		}
		if err := sink(wigeonshift.Chunk{Token: r.Token, Offset: done, Count: 1, Text: word}); err != nil {
			return wigeonshift.GenerateResult{}, err
		}
		done++
	}
	return wigeonshift.GenerateResult{Token: r.Token, Finish: wigeonshift.FinishStop, PromptTokens: 3, TokensDone: done}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, token wigeonshift.AttemptToken) error {
	e.cancelled <- token
	return nil
}

func (e *fakeEngine) Call(_ context.Context, c wigeonshift.ServiceCall, onStart func()) (wigeonshift.ServiceAnswer, error) {
	onStart()
	e.calls <- c
	return wigeonshift.ServiceAnswer{Token: c.Token, Status: 201, ContentType: "text/plain", Body: []byte("issued")}, nil
}

// memoryClaims keeps claims in memory.
type memoryClaims struct {
	mu   sync.Mutex
	rows map[string]wigeonshift.Claim
}

func (m *memoryClaims) Claim(_ context.Context, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.rows[c.Key]; ok {
		return old, wigeonshift.ErrAlreadyClaimed
	}
	m.rows[c.Key] = c
	return wigeonshift.Claim{}, nil
}

func (m *memoryClaims) Settle(_ context.Context, c wigeonshift.Claim) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows[c.Key] = c
	return nil
}
