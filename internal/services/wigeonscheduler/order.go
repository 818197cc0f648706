package wigeonscheduler

import (
	"slices"
	"strconv"
	"time"

	"wigeonshift"
)

// Limits for orders to engines.
const (
	// minOrderInterval is the shortest time between two orders to one endpoint.
	minOrderInterval = 2 * time.Minute
	// demandWindow is the time over which the demand for a model is averaged.
	demandWindow = 20 * time.Second
	// rebalancePeriod is the time between two comparisons of demand and capacity.
	rebalancePeriod = 2 * time.Second
	// minRebalanceRatio is how many times the load of the model that gains an endpoint must exceed the load that the
	// models which lose it have without it.
	minRebalanceRatio = 2.0
	// minRebalanceLoad is the load above which a model may gain an endpoint; at 1, demand equals capacity.
	minRebalanceLoad = 0.9
	// minRebalanceRounds is the number of consecutive comparisons that must find the model above minRebalanceLoad.
	minRebalanceRounds = 3
	// minDemandSeconds is the decayed service time below which the demand for a model counts as zero.
	minDemandSeconds = 0.01
	// unservedLoad is the load of a model with demand but no endpoint; it exceeds every normal load.
	unservedLoad = minRebalanceRatio * 100
	// orderTimeout is the time after which an unanswered order is abandoned.
	orderTimeout = 2 * time.Minute
)

// orderState is the state of the last order to an endpoint.
type orderState struct {
	// pendingModel is the model that the endpoint was chosen to load, empty for none.
	pendingModel string
	// sent is set once the order is sent. Before that, the owner waits for a slot of the weight store.
	sent bool
	// reserveAt is when to ask the weight store for a slot again; zero while a request for a slot is unanswered.
	reserveAt time.Time
	// lastOrderAt is when the endpoint was last chosen for an order. It enforces minOrderInterval and orderTimeout.
	lastOrderAt time.Time
}

// modelDemand is the demand for one model.
type modelDemand struct {
	model string
	// workSeconds is the service time of the requests that arrived, decaying over demandWindow.
	workSeconds float64
	// overloadedRounds counts consecutive comparisons in which the model lacked capacity.
	overloadedRounds int
}

// recordDemand adds the work of an arriving request to the demand for its model, which rebalanceModels compares with
// the capacity that serves the model. Requests to plain services name no model and do not count.
func (s *Shard) recordDemand(j *job) {
	model := j.request.Model
	if model == "" {
		return
	}
	for i := range s.demand {
		if s.demand[i].model == model {
			s.demand[i].workSeconds += j.workSeconds
			return
		}
	}
	s.demand = append(s.demand, modelDemand{model: model, workSeconds: j.workSeconds})
	slices.SortFunc(s.demand, func(a, b modelDemand) int { return compareStrings(a.model, b.model) })
}

// compareStrings orders two strings.
func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// rebalanceModels orders an endpoint to load another model when that model has lacked capacity in several comparisons
// in a row. With fewer than two models in demand there is nothing to move, unless the only one has no endpoint. An
// order is a command to an engine. It carries the lease epoch as a fencing number, so that engines can reject an owner
// that was replaced; orders are started only while the lease is held and the shard may grant. Only one is in progress
// at a time so that rebalancing does not overshoot.
func (s *Shard) rebalanceModels() {
	if len(s.demand) < 2 && s.unservedModel() == "" {
		return
	}
	s.retryOrders()
	if s.now.Sub(s.lastRebalanceAt) < rebalancePeriod {
		return
	}
	decay := 1 - rebalancePeriod.Seconds()/demandWindow.Seconds()
	s.lastRebalanceAt = s.now
	for i := range s.demand {
		d := &s.demand[i]
		d.workSeconds *= decay
		if s.modelLoad(d) > minRebalanceLoad {
			d.overloadedRounds++
		} else {
			d.overloadedRounds = 0
		}
	}
	if s.leaseHeld && s.canGrant() && !s.orderPending() {
		s.orderReload()
	}
}

// unservedModel returns a model with demand but no endpoint, or an empty string. Such a model needs an endpoint even if
// it is the only one in demand.
func (s *Shard) unservedModel() string {
	for i := range s.demand {
		if s.demand[i].workSeconds > 0 && s.modelSlots(s.demand[i].model) == 0 {
			return s.demand[i].model
		}
	}
	return ""
}

// modelSlots is the total concurrency limit of the endpoints that serve a model.
func (s *Shard) modelSlots(model string) int {
	slots := 0
	for _, e := range s.sortedEndpoints {
		if e.acceptsWork() && e.serves(model) {
			slots += e.concurrencyLimit()
		}
	}
	return slots
}

// modelLoad is the ratio of the demand for a model to the slots that serve it. A model with demand but no endpoint has
// a load above all others, so that it is the first to gain an endpoint.
func (s *Shard) modelLoad(d *modelDemand) float64 {
	slots := s.modelSlots(d.model)
	if slots == 0 {
		if d.workSeconds > minDemandSeconds {
			return unservedLoad
		}
		return 0
	}
	return d.workSeconds / demandWindow.Seconds() / float64(slots)
}

// orderReload picks the model that lacks the most capacity and the endpoint whose own models would have the lowest load
// without it, and starts an order (a command to the engine) to load the model there. The model's load must be above
// minRebalanceRatio times that lowest load. The order itself is sent once the weight store has granted a slot.
func (s *Shard) orderReload() {
	var target *modelDemand
	for i := range s.demand {
		d := &s.demand[i]
		if d.overloadedRounds >= minRebalanceRounds && (target == nil || s.modelLoad(d) > s.modelLoad(target)) {
			target = d
		}
	}
	if target == nil {
		return
	}
	var best *endpoint
	bestLoad := s.modelLoad(target) / minRebalanceRatio
	for _, e := range s.sortedEndpoints {
		if !s.canReload(e, target.model) {
			continue
		}
		if load := s.loadWithout(e); load < bestLoad {
			best, bestLoad = e, load
		}
	}
	if best == nil {
		return
	}
	target.overloadedRounds = 0
	best.order = orderState{pendingModel: target.model, reserveAt: s.now, lastOrderAt: s.now}
	s.reserveWeightSlot(best)
}

// loadWithout is the highest load that a model of the endpoint would have if the endpoint no longer served it. It shows
// what loading another model there would cost.
func (s *Shard) loadWithout(e *endpoint) float64 {
	load := 0.0
	for i := range s.demand {
		d := &s.demand[i]
		if !e.serves(d.model) {
			continue
		}
		left := s.modelSlots(d.model) - e.concurrencyLimit()
		if left <= 0 {
			if d.workSeconds > minDemandSeconds {
				return unservedLoad
			}
			continue
		}
		load = max(load, d.workSeconds/demandWindow.Seconds()/float64(left))
	}
	return load
}

// canReload reports whether an endpoint may now be ordered to load a model.
func (s *Shard) canReload(e *endpoint, model string) bool {
	return e.acceptsWork() && e.health == healthUp && len(e.models) > 0 && !e.serves(model) && e.order.pendingModel == "" &&
		(e.order.lastOrderAt.IsZero() || s.now.Sub(e.order.lastOrderAt) >= minOrderInterval)
}

// orderPending reports whether an order is in progress. Only one is allowed at a time so that rebalancing does not
// overshoot.
func (s *Shard) orderPending() bool {
	return slices.ContainsFunc(s.sortedEndpoints, func(e *endpoint) bool { return e.order.pendingModel != "" })
}

// isLoading reports whether an endpoint has an order pending to load a model.
func (s *Shard) isLoading(model string) bool {
	return slices.ContainsFunc(s.sortedEndpoints, func(e *endpoint) bool { return model != "" && e.order.pendingModel == model })
}

// reserveWeightSlot asks the weight store for a slot.
func (s *Shard) reserveWeightSlot(e *endpoint) {
	e.order.reserveAt = time.Time{}
	s.emit(ReserveWeightSlot{Endpoint: e.name, Model: e.order.pendingModel})
}

// retryOrders asks again for weight store slots that were not free and abandons orders that timed out, because a
// pending order prevents all others.
func (s *Shard) retryOrders() {
	for _, e := range s.sortedEndpoints {
		o := &e.order
		switch {
		case o.pendingModel == "":
		case s.now.Sub(o.lastOrderAt) > orderTimeout:
			s.count("orders", "timeout")
			o.pendingModel, o.sent = "", false
		case !o.sent && !o.reserveAt.IsZero() && !s.now.Before(o.reserveAt):
			s.reserveWeightSlot(e)
		}
	}
}

// handleWeightSlotAnswered sends the order to load a model once the weight store has granted a slot, or waits and asks
// again. It drops the order if the endpoint takes no work now or the lease has expired, because orders are fenced with
// the lease epoch.
func (s *Shard) handleWeightSlotAnswered(b WeightSlotAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil || e.order.pendingModel != b.Model || e.order.sent {
		return
	}
	if b.Wait > 0 {
		e.order.reserveAt = s.now.Add(time.Duration(float64(b.Wait) * s.jitter()))
		return
	}
	if !s.leaseHeld || !e.acceptsWork() {
		e.order.pendingModel = ""
		return
	}
	e.order.sent = true
	s.sequence++
	s.count("orders", "sent")
	s.emit(SendOrder{Endpoint: e.name, Address: e.spec.Address, Order: wigeonshift.Order{
		ID:   string(s.id) + "#" + strconv.FormatUint(s.epoch, 10) + "." + strconv.FormatUint(s.sequence, 10),
		Kind: wigeonshift.OrderLoadModel, Subject: b.Model, Fence: s.epoch,
	}})
}

// handleOrderAnswered closes an order, so that the next one may start. An endpoint that accepted it serves only the new
// model. If the outcome is unknown, the engine's load reports show which models it has.
func (s *Shard) handleOrderAnswered(b OrderAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil || e.order.pendingModel != b.Order.Subject || !e.order.sent {
		return
	}
	e.order.pendingModel, e.order.sent = "", false
	if b.Accepted {
		e.models = []string{b.Order.Subject}
		e.cache.clear()
		s.count("orders", "accepted")
		s.unblockLanes()
	}
}

// updateModels applies the models in an engine's load report and has all queued jobs tried again if they changed. While
// an order to load a model is pending, it ignores the report, because reports lag and the answer to the order sets the
// models.
func (s *Shard) updateModels(e *endpoint, models []string) {
	if e.order.pendingModel == "" && !slices.Equal(e.models, models) {
		e.models = slices.Clone(models)
		s.unblockLanes()
	}
}
