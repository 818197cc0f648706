package wigeonfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

const (
	// followWait is how long the store holds a question without changes. It bounds how long a connection that has gone
	// silent stays unnoticed.
	followWait = 3500 * time.Millisecond
	// instancesWait is the same for the list of instances, whose changes are less urgent.
	instancesWait = 15 * time.Second
	// answerTimeout bounds an answer beyond the wait.
	answerTimeout = 800 * time.Millisecond
	// listTimeout bounds an answer with a whole table.
	listTimeout = 2 * time.Second
	// probeStep is by how much a call to a store that fails may take longer after each failure: one that is only slow
	// must get through in the end.
	probeStep = 200 * time.Millisecond
	// retryBase and retryMax bound the pause after a failed call.
	retryBase = 60 * time.Millisecond
	retryMax  = 500 * time.Millisecond
)

// table is what a loop hands its rows to.
type table interface {
	// replace takes all rows of the table.
	replace(rows []wigeonshift.TableRow)
	// change takes changed rows.
	change(rows []wigeonshift.TableRow)
	// lost tells that the store has stopped answering, regained that it answers again.
	lost()
	regained()
}

// follower follows one table.
type follower struct {
	store wigeonshift.RoutingStore
	which wigeonshift.RoutingTable
	name  string
	into  table
	log   logrus.FieldLogger
	// wait is how long the store holds a question without changes.
	wait time.Duration
	// settle returns the pause after a change, in which further changes gather.
	settle func() time.Duration

	listed   bool
	revision uint64
	failing  bool
	failures int
}

// run follows the table until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.succeeded()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, wigeonshift.ErrHistoryLost) {
			f.log.WithField("table", f.name).Warn("store has dropped its history; the table is listed anew")
			f.listed = false
			continue
		}
		f.failed(err)
		sleep(ctx, f.pause())
	}
}

// times returns how long the store may hold a question, and how long to wait for the answer. While the store fails it
// holds none, so that the end of the failure is noticed soon.
func (f *follower) times() (wait, timeout time.Duration) {
	if f.failing {
		return 0, min(answerTimeout+time.Duration(f.failures)*probeStep, listTimeout)
	}
	if !f.listed {
		return 0, listTimeout
	}
	return f.wait, f.wait + answerTimeout
}

// step makes one call.
func (f *follower) step(ctx context.Context) error {
	wait, timeout := f.times()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !f.listed {
		page, err := f.store.List(call, f.which)
		if err != nil {
			return err
		}
		f.succeeded()
		f.into.replace(page.Rows)
		f.listed, f.revision = true, page.Revision
		return nil
	}
	page, err := f.store.Follow(call, f.which, f.revision, wait)
	if err != nil {
		return err
	}
	f.succeeded()
	f.revision = max(f.revision, page.Revision)
	if len(page.Rows) > 0 {
		f.into.change(page.Rows)
		sleep(ctx, f.settle())
	}
	return nil
}

func (f *follower) succeeded() {
	if f.failing {
		f.failing = false
		f.into.regained()
		f.log.WithFields(logrus.Fields{"table": f.name, "failures": f.failures}).Info("store regained")
	}
	f.failures = 0
}

func (f *follower) failed(err error) {
	f.failures++
	if !f.failing {
		f.failing = true
		f.into.lost()
		f.log.WithError(err).WithField("table", f.name).Warn("store lost")
	}
}

// pause is the time to the next call after a failure, spread so that instances don't call together.
func (f *follower) pause() time.Duration {
	pause := min(retryBase<<min(f.failures-1, 6), retryMax)
	return pause/2 + rand.N(pause) //nolint:gosec // The draw spreads load and protects nothing.
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
