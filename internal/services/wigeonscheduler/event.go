// Package wigeonscheduler is the decision logic of wigeonshift: one pure reducer that turns events into effects.
//
// It starts no goroutine, reads no clock, does no I/O and depends on no map order: time and randomness arrive in
// events, and everything to be done leaves as data.
package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Event is one input of the reducer.
type Event struct {
	// At never falls from one event to the next.
	At time.Time
	// Random is a fresh random number for this event.
	Random uint64
	Body   Body
}

// Body is the content of an event.
type Body interface {
	body()
}

// Events of a shard's owner.
type (
	// PermitRequested tells that an entry asks for a permit. A repeat of a known request is answered like the first.
	PermitRequested struct {
		Entry   string
		Request wigeonshift.PermitRequest
	}
	// PermitCancelled tells that the entry no longer wants a permit, or will not spend the granted one.
	PermitCancelled struct {
		Entry   string
		Request wigeonshift.RequestID
	}
	// AttemptReported tells what became of a permit.
	AttemptReported struct {
		Entry  string
		Report wigeonshift.AttemptReport
	}
	// EntryReported lists all attempts an entry has in flight in the shard.
	EntryReported struct {
		Entry    string
		Attempts []wigeonshift.RunningAttempt
	}
	// EntryLost tells that an entry instance is gone with all its requests.
	EntryLost struct {
		Entry string
	}
	// LoadReported carries an engine's lagging load report.
	LoadReported struct {
		Endpoint string
		Report   wigeonshift.LoadReport
	}
	// CacheReported carries cache events of an engine, late and with gaps.
	CacheReported struct {
		Endpoint string
		Batch    wigeonshift.CacheBatch
	}
	// ProbeAnswered tells the result of a probe of an endpoint.
	ProbeAnswered struct {
		Endpoint string
		Healthy  bool
		Latency  time.Duration
	}
	// ConfigurationChanged brings the shard's endpoints and the product's limits up to a version.
	ConfigurationChanged struct {
		Version   uint64
		Endpoints map[string]wigeonshift.EndpointSpec
		// Product is shared and never modified.
		Product *wigeonshift.Product
	}
	// LeaseAcquired starts or renews ownership. Entries whose attempts are not yet known keep endpoints assumed full
	// until they reported or RebuildUntil passed.
	LeaseAcquired struct {
		Epoch        uint64
		RebuildUntil time.Time
	}
	// LeaseLapsed ends the right to give fenced orders; granting may go on.
	LeaseLapsed struct{}
	// DrainStarted asks the owner to stop granting before a hand-over.
	DrainStarted struct{}
	// QuarantineLoaded brings fingerprints found in the table.
	QuarantineLoaded struct {
		Fingerprints []wigeonshift.Fingerprint
		// Suspects were present at one crash.
		Suspects []wigeonshift.Fingerprint
	}
	// SummaryReceived tells the state of another shard of the pool.
	SummaryReceived struct {
		Summary wigeonshift.ShardSummary
	}
	// WeightSlotAnswered answers ReserveWeight: zero Wait grants the slot.
	WeightSlotAnswered struct {
		Endpoint string
		Model    string
		Wait     time.Duration
	}
	// OrderAnswered tells how an endpoint took an order.
	OrderAnswered struct {
		Endpoint string
		Order    wigeonshift.Order
		Accepted bool
		// Unknown is set when the answer was lost.
		Unknown bool
	}
	// Ticked drives everything that depends on time alone.
	Ticked struct{}
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
func (LeaseLapsed) body()          {}
func (DrainStarted) body()         {}
func (QuarantineLoaded) body()     {}
func (SummaryReceived) body()      {}
func (WeightSlotAnswered) body()   {}
func (OrderAnswered) body()        {}
func (Ticked) body()               {}
