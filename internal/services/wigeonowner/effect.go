package wigeonowner

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

const (
	// orderTimeout limits one order to an endpoint. The end of the lease may limit it further.
	orderTimeout = 30 * time.Second
	// probeTimeout limits one probe of an endpoint.
	probeTimeout = 2 * time.Second
	// weightTimeout limits one call to the weight store.
	weightTimeout = 2 * time.Second
	// weightRetryDelay is the delay before the retry of a failed call to the weight store.
	weightRetryDelay = 5 * time.Second
)

func (s *shard) executeEffect(e wigeonscheduler.Effect) {
	switch e := e.(type) {
	case wigeonscheduler.AnswerPermit:
		s.sendAnswer(e)
	case wigeonscheduler.SendOrder:
		s.startTask(orderTask{s, e})
	case wigeonscheduler.ReserveWeightSlot:
		s.startTask(weightTask{s, e})
	case wigeonscheduler.ProbeEndpoint:
		s.startTask(probeTask{s, e})
	case wigeonscheduler.StoreCrash:
		s.storeCrash(e.Crash)
	case wigeonscheduler.PublishSummary:
		s.manager.publishSummary(e.Summary)
	case wigeonscheduler.WakeAt:
		s.mu.Lock()
		s.wakeAt = e.At
		s.mu.Unlock()
	case wigeonscheduler.Count:
		s.manager.counters.add(e.Name, e.Label, e.Delta)
	}
}

// sendAnswer sends an answer to the entry instance that made the request.
func (s *shard) sendAnswer(e wigeonscheduler.AnswerPermit) {
	s.mu.Lock()
	entry, known := s.entries[e.Entry]
	epoch := s.epoch
	if e.Answer.Revoke == nil {
		delete(s.pendingRequests, e.Request)
	}
	s.mu.Unlock()
	if !known {
		s.manager.counters.add("ownerAnswersDropped", "", 1)
		return
	}
	s.manager.send(entry, wigeonshift.PermitReply{Shard: s.id, Request: e.Request, Epoch: epoch, Answer: e.Answer})
}

// task is a call that was started by an effect and runs outside the shard's loop.
type task interface {
	run(ctx context.Context)
}

// startTask runs a task in its own goroutine. If all slots are in use, it drops the task. The reducer then repeats the
// effect after its own timeout.
func (s *shard) startTask(t task) {
	select {
	case s.taskSlots <- struct{}{}:
		r := taskRun{s, t}
		s.tasks.Go(r.run)
	default:
		s.manager.counters.add("ownerTasksDropped", "", 1)
	}
}

// taskRun runs a task and then frees its slot.
type taskRun struct {
	shard *shard
	task  task
}

func (r taskRun) run() {
	defer func() { <-r.shard.taskSlots }()
	r.task.run(r.shard.ctx)
}

// orderTask sends an order to an endpoint if this instance holds the lease.
type orderTask struct {
	shard *shard
	order wigeonscheduler.SendOrder
}

func (t orderTask) run(ctx context.Context) {
	answered := wigeonscheduler.OrderAnswered{Endpoint: t.order.Endpoint, Order: t.order.Order}
	until, held := t.shard.elector.Held()
	if !held {
		t.shard.manager.counters.add("ownerOrdersDropped", "leaseLapsed", 1)
		t.shard.post(answered)
		return
	}
	// An order is sent only while the lease is valid. An order in flight when the lease ends may still be answered.
	ctx, cancel := context.WithDeadline(ctx, minTime(until, time.Now().Add(orderTimeout)))
	defer cancel()
	err := t.shard.manager.dialer.Endpoint(t.order.Address).SendOrder(ctx, t.order.Order)
	answered.Accepted = err == nil
	refused := errors.Is(err, wigeonshift.ErrStaleFence) || errors.Is(err, wigeonshift.ErrUnsupported) ||
		errors.Is(err, wigeonshift.ErrNotRun)
	answered.Unknown = err != nil && !refused
	t.shard.post(answered)
}

// weightTask asks the weight store for a slot to load a model.
type weightTask struct {
	shard   *shard
	reserve wigeonscheduler.ReserveWeightSlot
}

func (t weightTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	wait, err := t.shard.manager.weights.Reserve(ctx, t.reserve.Model)
	if err != nil {
		t.shard.manager.counters.add("ownerWeightCallsFailed", "", 1)
		wait = weightRetryDelay
	}
	t.shard.post(wigeonscheduler.WeightSlotAnswered{Endpoint: t.reserve.Endpoint, Model: t.reserve.Model, Wait: wait})
}

// probeTask checks whether an endpoint responds.
type probeTask struct {
	shard *shard
	probe wigeonscheduler.ProbeEndpoint
}

func (t probeTask) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	_, err := t.shard.manager.dialer.Endpoint(t.probe.Address).Load(ctx)
	t.shard.post(wigeonscheduler.ProbeAnswered{
		Endpoint: t.probe.Endpoint, Healthy: t.isHealthy(err), Latency: time.Since(start),
	})
}

// isHealthy reports whether the result of a probe shows a working endpoint. Plain services have no load report, so any
// response counts for them, even an error.
func (t probeTask) isHealthy(err error) bool {
	if err == nil || errors.Is(err, wigeonshift.ErrUnsupported) {
		return true
	}
	return t.shard.isPlain() && errors.Is(err, wigeonshift.ErrEndpointFailed)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
