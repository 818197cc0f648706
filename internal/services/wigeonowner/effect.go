package wigeonowner

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

const (
	// orderTimeout bounds one order to an endpoint; the lease's end may bound it more.
	orderTimeout = 30 * time.Second
	// probeTimeout bounds one probe of an endpoint.
	probeTimeout = 2 * time.Second
	// weightTimeout bounds one call of the weight store.
	weightTimeout = 2 * time.Second
	// weightRetry is the wait after a failed call of the weight store.
	weightRetry = 5 * time.Second
)

// carryOut does what one effect asks.
func (s *shard) carryOut(e wigeonscheduler.Effect) {
	switch e := e.(type) {
	case wigeonscheduler.AnswerPermit:
		s.answer(e)
	case wigeonscheduler.SendOrder:
		s.startTask(orderTask{s, e})
	case wigeonscheduler.ReserveWeight:
		s.startTask(weightTask{s, e})
	case wigeonscheduler.ProbeEndpoint:
		s.startTask(probeTask{s, e})
	case wigeonscheduler.StoreQuarantine:
		s.m.quarantine.add(s.id, e.Fingerprint, e.Crashes)
	case wigeonscheduler.PublishSummary:
		s.m.publish(e.Summary)
	case wigeonscheduler.WakeAt:
		s.mu.Lock()
		s.wakeAt = e.At
		s.mu.Unlock()
	case wigeonscheduler.Count:
		s.m.counters.add(e.Name, e.Label, e.Delta)
	}
}

// answer sends an answer to the entry that asked.
func (s *shard) answer(e wigeonscheduler.AnswerPermit) {
	s.mu.Lock()
	entry, known := s.entries[e.Entry]
	epoch := s.epoch
	if e.Answer.Revoke == nil {
		delete(s.waiting, e.Request)
	}
	s.mu.Unlock()
	if !known {
		s.m.counters.add("ownerAnswersDropped", "", 1)
		return
	}
	s.m.send(entry, wigeonshift.PermitReply{Shard: s.id, Request: e.Request, Epoch: epoch, Answer: e.Answer})
}

// task is one call that an effect started.
type task interface {
	run(ctx context.Context)
}

// startTask runs a task unless too many are open; its effect is then lost, and the reducer's timeouts repeat it.
func (s *shard) startTask(t task) {
	select {
	case s.slots <- struct{}{}:
		r := taskRun{s, t}
		s.tasks.Go(r.run)
	default:
		s.m.counters.add("ownerTasksDropped", "", 1)
	}
}

// taskRun is a task in its slot.
type taskRun struct {
	shard *shard
	task  task
}

func (r taskRun) run() {
	defer func() { <-r.shard.slots }()
	r.task.run(r.shard.ctx)
}

// orderTask gives an order to an endpoint while the lease holds.
type orderTask struct {
	shard *shard
	order wigeonscheduler.SendOrder
}

func (t orderTask) run(ctx context.Context) {
	answered := wigeonscheduler.OrderAnswered{Endpoint: t.order.Endpoint, Order: t.order.Order}
	until, held := t.shard.keeper.Held()
	if !held {
		t.shard.m.counters.add("ownerOrdersDropped", "leaseLapsed", 1)
		t.shard.post(answered)
		return
	}
	// The lease bounds the sending; an order that is under way at its end may still be answered.
	ctx, cancel := context.WithDeadline(ctx, minTime(until, time.Now().Add(orderTimeout)))
	defer cancel()
	err := t.shard.m.dialer.Endpoint(t.order.Address).SendOrder(ctx, t.order.Order)
	answered.Accepted = err == nil
	refused := errors.Is(err, wigeonshift.ErrStaleFence) || errors.Is(err, wigeonshift.ErrUnsupported) ||
		errors.Is(err, wigeonshift.ErrNotRun)
	answered.Unknown = err != nil && !refused
	t.shard.post(answered)
}

// weightTask asks the weight store for a slot.
type weightTask struct {
	shard   *shard
	reserve wigeonscheduler.ReserveWeight
}

func (t weightTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	wait, err := t.shard.m.weights.Reserve(ctx, t.reserve.Model)
	if err != nil {
		t.shard.m.counters.add("ownerWeightCallsFailed", "", 1)
		wait = weightRetry
	}
	t.shard.post(wigeonscheduler.WeightSlotAnswered{Endpoint: t.reserve.Endpoint, Model: t.reserve.Model, Wait: wait})
}

// probeTask asks an endpoint whether it answers at all.
type probeTask struct {
	shard *shard
	probe wigeonscheduler.ProbeEndpoint
}

func (t probeTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	_, err := t.shard.m.dialer.Endpoint(t.probe.Address).Load(ctx)
	t.shard.post(wigeonscheduler.ProbeAnswered{
		Endpoint: t.probe.Endpoint, Healthy: t.healthy(err), Latency: time.Since(start),
	})
}

// healthy judges a probe's answer. A plain service knows no load report: any answer shows that it serves.
func (t probeTask) healthy(err error) bool {
	if err == nil || errors.Is(err, wigeonshift.ErrUnsupported) {
		return true
	}
	return t.shard.isPlain() && errors.Is(err, wigeonshift.ErrEndpointFailed)
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
