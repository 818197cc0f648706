// Package wigeonplain is a stand-in plain service: a store's records and the locks of migrations. Some of its calls
// must not be repeated; it counts what it executes.
package wigeonplain

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/standin/wigeonfault"
	"wigeonshift/internal/standin/wigeonledger"
)

// Service is one stand-in plain service.
type Service struct {
	latency time.Duration
	faults  *wigeonfault.Injector
	server  *wigeonfault.Server

	mu       sync.Mutex
	draining bool
	stopped  chan struct{}
	stopOnce sync.Once
	// writes books the calls that must not be repeated; the reads are only counted.
	writes *wigeonledger.Ledger
	stats  Stats
}

// Stats counts what a service did since its process started, crashes included.
type Stats struct {
	// Counts are those of non-idempotent calls.
	wigeonledger.Counts
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
	Crashes int64 `json:"crashes"`
}

// Option changes a service.
type Option func(*Service)

// WithLatency sets the time that each call takes.
func WithLatency(d time.Duration) Option { return func(s *Service) { s.latency = d } }

// WithFaults sets the faults in force at first.
func WithFaults(f wigeonfault.Faults) Option {
	return func(s *Service) { s.faults = wigeonfault.NewInjector(f) }
}

// New returns a service for an address; port 0 takes a free port.
func New(address string, opts ...Option) *Service {
	s := &Service{
		faults:  wigeonfault.NewInjector(wigeonfault.Faults{}),
		stopped: make(chan struct{}),
		writes:  wigeonledger.New(),
	}
	for _, o := range opts {
		o(s)
	}
	s.server = wigeonfault.NewServer(address, s.newApp)
	return s
}

// Start listens and begins to work.
func (s *Service) Start(_ context.Context) error {
	return s.server.Start()
}

// Stop refuses new work, lets calls finish until the context ends, and ends.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	err := s.server.Stop(ctx)
	s.stopOnce.Do(func() { close(s.stopped) })
	return err
}

// Address returns the address listened at.
func (s *Service) Address() string {
	return s.server.Address()
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f wigeonfault.Faults) {
	s.faults.Set(f)
	if f.Crash {
		s.crash()
	}
}

// Stats returns the service's counts.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Counts = s.writes.Counts
	return st
}

// Contents returns the number of executions of each content of non-idempotent calls.
func (s *Service) Contents() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.Contents()
}

func (s *Service) crash() {
	s.server.Crash(time.Duration(s.faults.Get().RestartMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Crashes++
}

// Receipt is the answer to a non-idempotent call: proof of what was executed.
type Receipt struct {
	// Content is the fingerprint of the call.
	Content string `json:"content"`
	// Serial numbers the service's executions from 1.
	Serial int64 `json:"serial"`
}

// Content identifies a non-idempotent call in the ledger.
func Content(path, body string) wigeonshift.Fingerprint {
	return wigeonprompt.Fingerprint(path, body)
}

// execute books one non-idempotent call.
func (s *Service) execute(token wigeonshift.AttemptToken, path, body string) Receipt {
	content := Content(path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.Add(token, content)
	return Receipt{Content: wigeonledger.Key(content), Serial: s.writes.Executions}
}

// refuse reports whether a coming call is to be refused.
func (s *Service) refuse() bool {
	refused := s.faults.TakeRefusal()
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused || s.draining {
		s.stats.Refused++
		return true
	}
	return false
}

// historyLength is the number of records in a boat's history.
const historyLength = 3

// Record is the answer to a read: a function of the path alone, so that callers can verify it.
type Record struct {
	Path    string   `json:"path"`
	Entries []string `json:"entries"`
}

// ReadAnswer returns the body of every answer to a read of a path.
func ReadAnswer(path string) string {
	record := Record{Path: path}
	for i := range historyLength {
		hash := wigeonprompt.Fingerprint(path, fmt.Sprint(i))
		record.Entries = append(record.Entries, wigeonledger.Key(hash))
	}
	// Strings always marshal.
	document, _ := json.Marshal(record)
	return string(document)
}

// isRead reports whether the service answers a path to a GET.
func isRead(path string) bool {
	for _, prefix := range []string{"/boats/", "/locks/", "/jobs/"} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// IsReceipt reports whether a text is the answer to a non-idempotent call.
func IsReceipt(text, path, body string) bool {
	var receipt Receipt
	err := json.Unmarshal([]byte(text), &receipt)
	return err == nil && receipt.Content == wigeonledger.Key(Content(path, body))
}
