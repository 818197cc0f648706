package wigeonsettlement

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// errRestored reports that the store returned from an older copy during a write.
var errRestored = errors.New("store has returned from an older copy during the write")

// settle reads the state of a rollout, and writes the wanted one if write is set and the store holds no final state of the order.
// The write fails if another instance has changed the row since.
func (s *Service) settle(ctx context.Context, task wigeondispatch.RolloutTask, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := s.store.List(ctx, wigeonshift.TableStatus)
	if err != nil {
		return err
	}
	status := s.find(page, task.Order)
	isOfOrder := status.State != "" && status.OrderRevision == task.Order.Revision && status.Target == task.Order.Target
	read := wigeondispatch.RolloutRead{Service: task.Order.Service, OrderRevision: task.Order.Revision}
	if isOfOrder {
		read.State = status.State
		read.IsAgeKnown = status.StartedAtMillis > 0 && page.NowMillis >= status.StartedAtMillis
		read.Age = time.Duration(page.NowMillis-status.StartedAtMillis) * time.Millisecond
	} else if !task.IsAgeKnown {
		// No instance has noted the order, so it is new.
		read.IsAgeKnown = true
	}
	// A verdict may have come while the store answered.
	task, exists := s.latest(task)
	if write && exists && task.IsAgeKnown && task.Wanted != read.State && !read.State.Final() {
		if err := s.write(ctx, task, page, status, isOfOrder); err != nil {
			return err
		}
		read.State = task.Wanted
	}
	s.rollouts.RecordRollout(read)
	return nil
}

// latest returns the present task for the order of an earlier one, and false if there is none.
func (s *Service) latest(task wigeondispatch.RolloutTask) (wigeondispatch.RolloutTask, bool) {
	for _, t := range s.rollouts.RolloutTasks() {
		if t.Order == task.Order {
			return t, true
		}
	}
	return task, false
}

// find returns the state of a service among listed rows. If there is none, or it can't be read, only the row's revision is set.
func (s *Service) find(page wigeonshift.TablePage, order wigeonshift.RolloutOrder) wigeonshift.RolloutStatus {
	for _, row := range page.Rows {
		status, ok, err := s.codec.RolloutStatus(row)
		if !ok || status.Service != order.Service {
			continue
		}
		if err != nil {
			s.log.WithError(err).WithField("row", row.Key).Warn("replacing the malformed state of a rollout")
			return wigeonshift.RolloutStatus{Revision: row.Revision}
		}
		return status
	}
	return wigeonshift.RolloutStatus{}
}

// write writes the wanted state if the row hasn't changed since it was read.
func (s *Service) write(
	ctx context.Context, task wigeondispatch.RolloutTask, page wigeonshift.TablePage, before wigeonshift.RolloutStatus, isOfOrder bool,
) error {
	next := wigeonshift.RolloutStatus{
		Service: task.Order.Service, Target: task.Order.Target, State: task.Wanted, OrderRevision: task.Order.Revision,
		Reason: task.Reason, StartedAtMillis: page.NowMillis - task.Age.Milliseconds(),
	}
	if isOfOrder && before.StartedAtMillis > 0 {
		next.StartedAtMillis = before.StartedAtMillis
	}
	if page.NowMillis == 0 {
		next.StartedAtMillis = 0
	}
	key, value, err := s.codec.EncodeRolloutStatus(next)
	if err != nil {
		return err
	}
	era, err := s.store.Commit(ctx, wigeonshift.TableStatus, wigeonshift.Transaction{
		Conditions: []wigeonshift.Condition{{Key: key, Revision: before.Revision}},
		Writes:     []wigeonshift.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	if era != page.Era {
		return errRestored
	}
	s.log.WithFields(logrus.Fields{
		"service": next.Service, "target": next.Target, "state": next.State, "before": before.State, "reason": next.Reason,
		"ageMs": task.Age.Milliseconds(), "order": next.OrderRevision,
	}).Info("rollout state written")
	return nil
}
