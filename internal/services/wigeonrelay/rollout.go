package wigeonrelay

import (
	"fmt"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
)

// SetRollouts replaces the rollout orders. mayBeOld is set if orders that aren't known yet may have been given some time ago.
func (d *Dispatcher) SetRollouts(orders []wigeonshift.RolloutOrder, mayBeOld bool) {
	d.reduce(wigeondispatch.RolloutsListed{At: d.Now(), Orders: orders, MayBeOld: mayBeOld})
}

// RecordRollout records what the store holds of a rollout.
func (d *Dispatcher) RecordRollout(read wigeondispatch.RolloutRead) {
	read.At = d.Now()
	d.reduce(read)
}

// RolloutTasks returns what the store is to be told, or asked, of rollouts.
func (d *Dispatcher) RolloutTasks() []wigeondispatch.RolloutTask {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.RolloutTasks(d.Now())
}

// RolloutNews counts the changes of rollouts that other instances should learn of at once.
func (d *Dispatcher) RolloutNews() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.RolloutNews()
}

// recordRollout logs a change of a rollout, or counts an attempt. The caller must hold mu.
func (d *Dispatcher) recordRollout(effect wigeondispatch.Effect) {
	switch x := effect.(type) {
	case wigeondispatch.RolloutRecorded:
		d.loadChanges++
		d.logRollout(x)
	case wigeondispatch.RolloutAttempt:
		d.countRolloutAttempt(x)
	}
}

// logRollout logs a change of a rollout with the evidence of all instances.
func (d *Dispatcher) logRollout(x wigeondispatch.RolloutRecorded) {
	var evidence []string
	for _, c := range x.Totals {
		version := "others"
		if c.OnTarget {
			version = x.Order.Target
		}
		evidence = append(evidence, fmt.Sprintf("%s %s: %d answers, %d failed, %d slow, %d lost, %d overdue",
			c.Stage, version, c.Answers, c.Failed, c.Slow, c.Lost, c.Overdue))
	}
	d.log.WithFields(logrus.Fields{
		"service": x.Order.Service, "target": x.Order.Target, "order": x.Order.Revision, "state": x.State, "stage": x.Stage.String(),
		"condemned": x.Condemned, "ageMs": x.Age.Milliseconds(), "evidence": strings.Join(evidence, "; "),
	}).Info("rollout changed")
}

// countRolloutAttempt counts an attempt by the version of its endpoint.
func (d *Dispatcher) countRolloutAttempt(x wigeondispatch.RolloutAttempt) {
	outcome := x.Outcome.String()
	if x.Outcome == wigeondispatch.OutcomeDone && !x.Succeeded {
		outcome = wigeondispatch.OutcomeFailed.String()
	}
	d.scope.Tagged(map[string]string{"service": x.Service, "version": x.Version, "outcome": outcome}).Counter("rolloutAttempts").Inc(1)
}
