// Package wigeonscheduler implements the scheduling decisions of wigeonshift as a pure reducer from events to effects.
//
// It starts no goroutines, reads no clock, does no I/O and does not depend on map order. Time and randomness are part
// of the events; all actions are returned as data.
package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Event is one input of the reducer.
type Event struct {
	// At does not decrease from one event to the next.
	At time.Time
	// Random is a new random number for this event.
	Random uint64
	Body   EventBody
}

// EventBody is the content of an event.
type EventBody interface {
	body()
}

// Events handled by a shard's owner.
type (
	// PermitRequested is an entry's request for a permit. A repeat of a known request gets the same answer again.
	PermitRequested struct {
		Entry   string
		Request wigeonshift.PermitRequest
	}
	// PermitCancelled says that the entry no longer needs a permit, or will not use the granted one.
	PermitCancelled struct {
		Entry   string
		Request wigeonshift.RequestID
	}
	// AttemptReported reports the state of an attempt that uses a permit.
	AttemptReported struct {
		Entry  string
		Report wigeonshift.AttemptReport
	}
	// EntryReported lists all attempts that an entry has in flight in the shard.
	EntryReported struct {
		Entry    string
		Attempts []wigeonshift.RunningAttempt
	}
	// EntryLost says that an entry instance is gone, together with its requests.
	EntryLost struct {
		Entry string
	}
	// LoadReported carries an engine's load report, which lags behind its actual load.
	LoadReported struct {
		Endpoint string
		Report   wigeonshift.LoadReport
	}
	// CacheReported carries cache events of an engine. They are late and may have gaps.
	CacheReported struct {
		Endpoint string
		Batch    wigeonshift.CacheBatch
	}
	// ProbeAnswered is the result of a health probe of an endpoint.
	ProbeAnswered struct {
		Endpoint string
		Healthy  bool
		Latency  time.Duration
	}
	// ConfigurationChanged updates the shard's endpoints and the product's limits to a configuration version.
	ConfigurationChanged struct {
		Version   uint64
		Endpoints map[string]wigeonshift.EndpointSpec
		// Product is shared and must not be modified.
		Product *wigeonshift.Product
	}
	// LeaseAcquired starts or renews ownership. No permits are granted before RebuildUntil so that entries can first
	// report the attempts they have in flight.
	LeaseAcquired struct {
		Epoch        uint64
		RebuildUntil time.Time
	}
	// LeaseExpired says that the lease has expired. Fenced orders are no longer allowed; grants may continue.
	LeaseExpired struct{}
	// DrainStarted stops granting before a hand-over to another owner.
	DrainStarted struct{}
	// QuarantineLoaded carries the crashes read from the quarantine table.
	QuarantineLoaded struct {
		Crashes []wigeonshift.Crash
	}
	// SummaryReceived carries the state of another shard of the pool.
	SummaryReceived struct {
		Summary wigeonshift.ShardSummary
	}
	// WeightSlotAnswered answers ReserveWeightSlot. A zero Wait grants the slot.
	WeightSlotAnswered struct {
		Endpoint string
		Model    string
		Wait     time.Duration
	}
	// OrderAnswered is the outcome of an order to an endpoint.
	OrderAnswered struct {
		Endpoint string
		Order    wigeonshift.Order
		Accepted bool
		// Unknown is set when the answer was lost.
		Unknown bool
	}
	// Tick runs the checks that depend on time only.
	Tick struct{}
)

func (PermitRequested) body()      {}
func (PermitCancelled) body()      {}
func (AttemptReported) body()      {}
func (EntryReported) body()        {}
func (EntryLost) body()            {}
func (LoadReported) body()         {}
func (CacheReported) body()        {}
func (ProbeAnswered) body()        {}
func (ConfigurationChanged) body() {}
func (LeaseAcquired) body()        {}
func (LeaseExpired) body()         {}
func (DrainStarted) body()         {}
func (QuarantineLoaded) body()     {}
func (SummaryReceived) body()      {}
func (WeightSlotAnswered) body()   {}
func (OrderAnswered) body()        {}
func (Tick) body()                 {}
