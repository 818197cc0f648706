// Package wigeonplain is a stand-in for a plain service that stores records and the locks of migrations. Some of its
// calls are not idempotent, so it counts the calls that it executes.
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
	// writes records the non-idempotent calls; reads are only counted in stats.
	writes *wigeonledger.Ledger
	stats  Stats
}

// Stats counts the work of a service since its process started. Simulated crashes don't reset it.
type Stats struct {
	// Counts covers non-idempotent calls only.
	wigeonledger.Counts
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
	Crashes int64 `json:"crashes"`
}

// Option configures a service.
type Option func(*Service)

// WithLatency sets the duration of each call.
func WithLatency(d time.Duration) Option { return func(s *Service) { s.latency = d } }

// WithFaults sets the initial faults.
func WithFaults(f wigeonfault.Faults) Option {
	return func(s *Service) { s.faults = wigeonfault.NewInjector(f) }
}

// New returns a service for an address; port 0 selects a free port.
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

// Start listens and serves in the background.
func (s *Service) Start(_ context.Context) error {
	return s.server.Start()
}

// Stop refuses new calls, lets open calls finish until the context ends, and stops the service.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	err := s.server.Stop(ctx)
	s.stopOnce.Do(func() { close(s.stopped) })
	return err
}

// Address returns the address that the service listens at.
func (s *Service) Address() string {
	return s.server.Address()
}

// SetFaults replaces the active faults, and crashes the service if f.Crash is set.
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

// crash simulates a crash of the process. The counts survive it.
func (s *Service) crash() {
	s.server.Crash(time.Duration(s.faults.Get().RestartMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Crashes++
}

// Receipt is the response to a non-idempotent call. It proves which call was executed.
type Receipt struct {
	// Content is the fingerprint of the call.
	Content string `json:"content"`
	// Serial is the number of this execution; the first execution of a service has 1.
	Serial int64 `json:"serial"`
}

// CallFingerprint returns the fingerprint that identifies a non-idempotent call in the ledger.
func CallFingerprint(path, body string) wigeonshift.Fingerprint {
	return wigeonprompt.Fingerprint(path, body)
}

// execute records one non-idempotent call and returns its receipt.
func (s *Service) execute(token wigeonshift.AttemptToken, path, body string) Receipt {
	content := CallFingerprint(path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.Add(token, content)
	return Receipt{Content: content.String(), Serial: s.writes.Executions}
}

// shouldRefuse reports whether to refuse the current call, and counts it if so.
func (s *Service) shouldRefuse() bool {
	refused := s.faults.TakeRefusal()
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused || s.draining {
		s.stats.Refused++
		return true
	}
	return false
}

const entriesPerRecord = 3

// Record is the response to a read. It depends only on the path, so that callers can verify it.
type Record struct {
	Path    string   `json:"path"`
	Entries []string `json:"entries"`
}

// ReadResponse returns the body of the response to every read of a path.
func ReadResponse(path string) string {
	record := Record{Path: path}
	for i := range entriesPerRecord {
		hash := wigeonprompt.Fingerprint(path, fmt.Sprint(i))
		record.Entries = append(record.Entries, hash.String())
	}
	// Marshalling strings can't fail.
	document, _ := json.Marshal(record)
	return string(document)
}

// isReadPath reports whether the service has a record at a path.
func isReadPath(path string) bool {
	for _, prefix := range []string{"/boats/", "/locks/", "/jobs/"} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// IsReceipt reports whether a text is the receipt of the non-idempotent call with this path and body.
func IsReceipt(text, path, body string) bool {
	var receipt Receipt
	err := json.Unmarshal([]byte(text), &receipt)
	return err == nil && receipt.Content == CallFingerprint(path, body).String()
}
