package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Effect is one thing to be done after an event, in the order of the slice.
type Effect interface {
	effect()
}

// Effects of a shard's owner.
type (
	// AnswerPermit sends an answer about a request to its entry.
	AnswerPermit struct {
		Entry   string
		Request wigeonshift.RequestID
		Answer  wigeonshift.PermitAnswer
	}
	// SendOrder gives an order to an endpoint. The shell drops it when the lease has lapsed meanwhile.
	SendOrder struct {
		Endpoint string
		Address  string
		Order    wigeonshift.Order
	}
	// ReserveWeight asks the weight store for a slot.
	ReserveWeight struct {
		Endpoint string
		Model    string
	}
	// ProbeEndpoint asks the shell to probe an endpoint and answer with ProbeAnswered.
	ProbeEndpoint struct {
		Endpoint string
		Address  string
	}
	// StoreQuarantine writes a fingerprint behind to the table.
	StoreQuarantine struct {
		Fingerprint wigeonshift.Fingerprint
		// Crashes is 1 for a suspect, which may run alone once more, and 2 for a fingerprint that is refused.
		Crashes int
	}
	// PublishSummary sends the shard's summary to the other shards of the pool.
	PublishSummary struct {
		Summary wigeonshift.ShardSummary
	}
	// WakeAt asks for a Ticked event no later than a time. A later WakeAt replaces an earlier one.
	WakeAt struct {
		At time.Time
	}
	// Count adds to a counter.
	Count struct {
		Name string
		// Label is the value of the counter's one tag, such as a reason; empty for none.
		Label string
		Delta int64
	}
)

func (AnswerPermit) effect()    {}
func (SendOrder) effect()       {}
func (ReserveWeight) effect()   {}
func (ProbeEndpoint) effect()   {}
func (StoreQuarantine) effect() {}
func (PublishSummary) effect()  {}
func (WakeAt) effect()          {}
func (Count) effect()           {}
