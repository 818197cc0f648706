package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Effect is an action that the caller of Reduce has to carry out. Effects are carried out in the order of the slice.
type Effect interface {
	effect()
}

// Effects returned for a shard's owner.
type (
	// AnswerPermit sends an answer about a request to the entry that asked.
	AnswerPermit struct {
		Entry   string
		Request wigeonshift.RequestID
		Answer  wigeonshift.PermitAnswer
	}
	// SendOrder sends an order to an endpoint, such as to load a model. The caller drops it if the lease has expired in
	// the meantime.
	SendOrder struct {
		Endpoint string
		Address  string
		Order    wigeonshift.Order
	}
	// ReserveWeightSlot asks the weight store for a slot to load a model. The answer comes as WeightSlotAnswered.
	ReserveWeightSlot struct {
		Endpoint string
		Model    string
	}
	// ProbeEndpoint asks for a health probe of an endpoint. The result comes as ProbeAnswered.
	ProbeEndpoint struct {
		Endpoint string
		Address  string
	}
	// StoreCrash writes a crash to the quarantine table without waiting for the result.
	StoreCrash struct {
		Crash wigeonshift.Crash
	}
	// PublishSummary sends the shard's summary to the other shards of the pool.
	PublishSummary struct {
		Summary wigeonshift.ShardSummary
	}
	// WakeAt asks for a Tick event no later than At. A later WakeAt replaces an earlier one.
	WakeAt struct {
		At time.Time
	}
	// Count adds to a counter.
	Count struct {
		Name string
		// Label is the value of the counter's only label, such as a reason; empty if it has none.
		Label string
		Delta int64
	}
)

func (AnswerPermit) effect()      {}
func (SendOrder) effect()         {}
func (ReserveWeightSlot) effect() {}
func (ProbeEndpoint) effect()     {}
func (StoreCrash) effect()        {}
func (PublishSummary) effect()    {}
func (WakeAt) effect()            {}
func (Count) effect()             {}
