package wigeonscheduler

import (
	"slices"
	"strconv"
	"time"

	"wigeonshift"
)

// Bounds of the orders to engines.
const (
	// orderInterval is the least time between two orders to one endpoint.
	orderInterval = 2 * time.Minute
	// demandWindow is the time over which the demand for a model is averaged.
	demandWindow = 20 * time.Second
	// shiftPeriod is the period of comparing demand and capacity.
	shiftPeriod = 2 * time.Second
	// shiftRatio is how much busier the model that gains an endpoint has to be than the one that loses it.
	shiftRatio = 2.0
	// shiftLoad is the load against capacity from which a model gains an endpoint.
	shiftLoad = 0.9
	// shiftRounds is the number of comparisons in a row that have to agree.
	shiftRounds = 3
	// orderTimeout ends an order without an answer.
	orderTimeout = 2 * time.Minute
)

// orderState is what the owner knows of orders to one endpoint.
type orderState struct {
	// pending is the model that the endpoint is to load, empty for none.
	pending string
	// sent is set once the order itself is out; before it a slot of the weight store is awaited.
	sent bool
	// askAt is the time at which to ask for the slot again.
	askAt time.Time
	// last is the time of the last order; the next keeps its distance.
	last time.Time
}

// modelDemand is the load of one model.
type modelDemand struct {
	model string
	// work is the service time in seconds that arrived within the window, decaying.
	work float64
	// rounds counts the comparisons in a row in which the model lacked capacity.
	rounds int
}

// noteDemand counts an arriving request's work.
func (s *Shard) noteDemand(j *job) {
	model := j.request.Model
	if model == "" {
		return
	}
	for i := range s.demand {
		if s.demand[i].model == model {
			s.demand[i].work += j.work
			return
		}
	}
	s.demand = append(s.demand, modelDemand{model: model, work: j.work})
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

// tickOrders moves endpoints between models when demand shifts and stays shifted.
func (s *Shard) tickOrders() {
	if len(s.demand) < 2 && s.unservedModel() == "" {
		return
	}
	s.pursueOrders()
	if s.now.Sub(s.shiftAt) < shiftPeriod {
		return
	}
	decay := 1 - shiftPeriod.Seconds()/demandWindow.Seconds()
	s.shiftAt = s.now
	for i := range s.demand {
		d := &s.demand[i]
		d.work *= decay
		if s.modelLoad(d) > shiftLoad {
			d.rounds++
		} else {
			d.rounds = 0
		}
	}
	if s.leaseHeld && s.granting() && !s.orderPending() {
		s.shift()
	}
}

// unservedModel returns a model that has demand and no endpoint.
func (s *Shard) unservedModel() string {
	for i := range s.demand {
		if s.demand[i].work > 0 && s.modelSlots(s.demand[i].model) == 0 {
			return s.demand[i].model
		}
	}
	return ""
}

// modelSlots is the capacity of the endpoints that serve a model.
func (s *Shard) modelSlots(model string) int {
	slots := 0
	for _, e := range s.ordered {
		if e.open() && e.serves(model) {
			slots += e.limit()
		}
	}
	return slots
}

// modelLoad is the demand for a model against the capacity that serves it.
func (s *Shard) modelLoad(d *modelDemand) float64 {
	slots := s.modelSlots(d.model)
	if slots == 0 {
		if d.work > 0.01 {
			return shiftRatio * 100
		}
		return 0
	}
	return d.work / demandWindow.Seconds() / float64(slots)
}

// shift orders the least needed endpoint to load the model that lacks capacity most.
func (s *Shard) shift() {
	var gain *modelDemand
	for i := range s.demand {
		d := &s.demand[i]
		if d.rounds >= shiftRounds && (gain == nil || s.modelLoad(d) > s.modelLoad(gain)) {
			gain = d
		}
	}
	if gain == nil {
		return
	}
	var best *endpoint
	bestLoad := s.modelLoad(gain) / shiftRatio
	for _, e := range s.ordered {
		if !s.mayReload(e, gain.model) {
			continue
		}
		if load := s.loadOf(e); load < bestLoad {
			best, bestLoad = e, load
		}
	}
	if best == nil {
		return
	}
	gain.rounds = 0
	best.order = orderState{pending: gain.model, askAt: s.now, last: s.now}
	s.askWeight(best)
}

// loadOf is the load that the models of an endpoint would have without it.
func (s *Shard) loadOf(e *endpoint) float64 {
	load := 0.0
	for i := range s.demand {
		d := &s.demand[i]
		if !e.serves(d.model) {
			continue
		}
		left := s.modelSlots(d.model) - e.limit()
		if left <= 0 {
			if d.work > 0.01 {
				return shiftRatio * 100
			}
			continue
		}
		load = max(load, d.work/demandWindow.Seconds()/float64(left))
	}
	return load
}

// mayReload reports whether an endpoint may get an order for a model now.
func (s *Shard) mayReload(e *endpoint, model string) bool {
	return e.open() && e.health == healthUp && len(e.models) > 0 && !e.serves(model) && e.order.pending == "" &&
		(e.order.last.IsZero() || s.now.Sub(e.order.last) >= orderInterval)
}

// orderPending reports whether an order is under way; one at a time keeps a shift from overshooting.
func (s *Shard) orderPending() bool {
	return slices.ContainsFunc(s.ordered, func(e *endpoint) bool { return e.order.pending != "" })
}

// loading reports whether a model is being loaded somewhere.
func (s *Shard) loading(model string) bool {
	return slices.ContainsFunc(s.ordered, func(e *endpoint) bool { return model != "" && e.order.pending == model })
}

// askWeight asks the weight store for a slot.
func (s *Shard) askWeight(e *endpoint) {
	e.order.askAt = time.Time{}
	s.emit(ReserveWeight{Endpoint: e.name, Model: e.order.pending})
}

// pursueOrders asks again for slots that were not free and gives up orders without an answer.
func (s *Shard) pursueOrders() {
	for _, e := range s.ordered {
		o := &e.order
		switch {
		case o.pending == "":
		case s.now.Sub(o.last) > orderTimeout:
			s.count("orders", "timeout")
			o.pending, o.sent = "", false
		case !o.sent && !o.askAt.IsZero() && !s.now.Before(o.askAt):
			s.askWeight(e)
		}
	}
}

// weightSlotAnswered sends the order once the weight store granted a slot.
func (s *Shard) weightSlotAnswered(b WeightSlotAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil || e.order.pending != b.Model || e.order.sent {
		return
	}
	if b.Wait > 0 {
		e.order.askAt = s.now.Add(time.Duration(float64(b.Wait) * s.jitter()))
		return
	}
	if !s.leaseHeld || !e.open() {
		e.order.pending = ""
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

// orderAnswered ends an order. After an unknown outcome the engine's own reports tell which models it has.
func (s *Shard) orderAnswered(b OrderAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil || e.order.pending != b.Order.Subject || !e.order.sent {
		return
	}
	e.order.pending, e.order.sent = "", false
	if b.Accepted {
		e.models = []string{b.Order.Subject}
		e.cache.clear()
		s.count("orders", "accepted")
		s.unblock()
	}
}

// noteModels takes over the models that an engine reports.
func (s *Shard) noteModels(e *endpoint, models []string) {
	if e.order.pending == "" && !slices.Equal(e.models, models) {
		e.models = slices.Clone(models)
		s.unblock()
	}
}
