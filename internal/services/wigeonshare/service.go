package wigeonshare

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ledgerKey is the key of the ledger's row.
const ledgerKey = "ledger"

const (
	// leaseDuration is long because each renewal writes the leases of all instances, of which there may be 1,500.
	leaseDuration = 6 * time.Minute
	// leaseMargin is left unused at the end of a lease, because clocks may differ in speed.
	leaseMargin = leaseDuration / 100
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Minute
	// firstRenewDelay is the delay before the first renewal, in which instances that start together are listed.
	// secondRenewDelay is the delay after it, by which the others have leases.
	firstRenewDelay  = 2 * time.Second
	secondRenewDelay = 15 * time.Second
	// changeDelay is the delay between a change of the instances and the renewal that takes it into account. A new
	// instance has entered the ledger by then.
	changeDelay = 4 * time.Second
	// spreadPerInstance is the length of the random part of these delays for each instance.
	spreadPerInstance = 20 * time.Millisecond
	// maxSmallFleet is the number of instances up to which all form one group. Beyond, the spread after a change and
	// the delay after a conflict are largeFleetSpread times as long.
	maxSmallFleet    = 12
	largeFleetSpread = 4
	// growDelay is the first delay after a renewal that left the instance with less than its fair share. It doubles up to
	// renewInterval.
	growDelay = 5 * time.Second
	// callTimeout limits one call to the store, stopTimeout the renewal at a stop.
	callTimeout = 2 * time.Second
	stopTimeout = 300 * time.Millisecond
	// conflictDelay is the longest first delay after a conflict with another instance, failureDelay that after a failed
	// call. Both double with each attempt, up to maxRetryDelay.
	conflictDelay = 40 * time.Millisecond
	failureDelay  = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Store is the part of the routing store that holds the ledger.
type Store interface {
	List(ctx context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error)
	Commit(ctx context.Context, table wigeonshift.RoutingTable, tx wigeonshift.Transaction) (era uint64, err error)
}

// Settings are the identity of an instance and the clock of its leases.
type Settings struct {
	// Holder identifies the address on which the instance listens. Only one process at a time can listen there, so an earlier
	// process with the same holder has ended.
	Holder string
	// Cooldown is the time for which what a holder did may still count after the end of its lease.
	Cooldown time.Duration
	// Clock returns the time since a fixed start, including suspensions of the machine.
	Clock func() time.Duration
	// Publish receives the share of the whole that the instance may use, from 0 to 1, until a time on Clock.
	Publish func(share float64, until time.Duration)
}

// Service keeps the lease of one instance.
type Service struct {
	settings Settings
	store    Store
	log      logrus.FieldLogger
	scope    tally.Scope
	// changed holds a pending request to renew the lease soon.
	changed chan struct{}
	cancel  context.CancelFunc
	tasks   conc.WaitGroup

	mu sync.Mutex
	// instances is the number of listed instances, this one included.
	instances int

	// The following fields belong to run.

	// startedAt is the time of the start on the clock.
	startedAt time.Duration
	// heldParts is the number of parts that this instance may use until heldUntil.
	heldParts int
	heldUntil time.Duration
	// inheritedParts is the part of heldParts that an earlier process with the same holder may have used. It can be used
	// from inheritedFrom on.
	inheritedParts int
	inheritedFrom  time.Duration
	// renewed is set once the lease was renewed by this process.
	renewed bool
	failing bool
}

// New returns a service without a lease.
func New(s Settings, store Store, log logrus.FieldLogger, scope tally.Scope) *Service {
	return &Service{settings: s, store: store, log: log, scope: scope, changed: make(chan struct{}, 1), instances: 1}
}

// Start takes a lease and renews it until Stop. The instance must already listen on its address.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.startedAt = s.settings.Clock()
	s.tasks.Go(func() { s.run(ctx) })
}

// Stop gives up the lease, so that the others may use its parts after the cooldown.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
	if !s.renewed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if _, err := s.renew(ctx, true); err != nil {
		s.log.WithError(err).Warn("failed to give up the lease; it ends by itself")
	}
}

// SetInstanceCount sets the number of listed instances, this one included.
func (s *Service) SetInstanceCount(n int) {
	s.mu.Lock()
	same := s.instances == max(n, 1)
	s.instances = max(n, 1)
	s.mu.Unlock()
	if !same {
		s.RenewSoon()
	}
}

// RenewSoon makes the service renew the lease, for example because the store may have lost it.
func (s *Service) RenewSoon() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) instanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances
}

// jitter returns a random delay that spreads the renewals of all instances.
func (s *Service) jitter() time.Duration {
	return randomDelay(time.Duration(s.instanceCount()) * spreadPerInstance)
}

// conflictDelay returns the longest first delay after a conflict.
func (s *Service) conflictDelay() time.Duration {
	if s.instanceCount() > maxSmallFleet {
		return conflictDelay * largeFleetSpread
	}
	return conflictDelay
}

// changeJitter returns a random delay that spreads the renewals of all instances after a change of these. In a fleet of several
// groups it is longer, since nearly each renewal met another one there and was repeated.
func (s *Service) changeJitter() time.Duration {
	if s.instanceCount() > maxSmallFleet {
		return s.jitter() * largeFleetSpread
	}
	return s.jitter()
}

// randomDelay returns a random delay up to a longest one.
func randomDelay(longest time.Duration) time.Duration {
	return rand.N(longest + 1) //nolint:gosec // The delay needs no cryptographic randomness.
}

// run renews the lease until ctx ends.
func (s *Service) run(ctx context.Context) {
	wigeonclock.Sleep(ctx, firstRenewDelay+s.jitter())
	grow := growDelay
	for ctx.Err() == nil {
		first := !s.renewed
		wait := s.renewUntilDone(ctx)
		switch {
		case first:
			wait = secondRenewDelay
			grow = growDelay
		case wait == 0:
			wait = grow
			grow = min(2*grow, renewInterval)
		default:
			grow = growDelay
		}
		s.sleep(ctx, wait+s.jitter())
	}
}

// sleep waits for a duration. It ends changeDelay after a change of the instances, and it publishes the share anew when
// inherited parts can be used.
func (s *Service) sleep(ctx context.Context, d time.Duration) {
	renewAt := time.NewTimer(d)
	defer renewAt.Stop()
	inherited := time.NewTimer(max(s.inheritedFrom-s.settings.Clock(), 0))
	defer inherited.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-renewAt.C:
			return
		case <-inherited.C:
			s.publish()
		case <-s.changed:
			wigeonclock.Sleep(ctx, changeDelay+s.changeJitter())
			return
		}
	}
}

// renewUntilDone renews the lease, again after each failure, and returns the time until the next renewal. It returns zero if
// the instance has less than its fair share and doesn't know when more is free.
func (s *Service) renewUntilDone(ctx context.Context) time.Duration {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		wait, err := s.renew(callCtx, false)
		cancel()
		if err == nil {
			s.failing = false
			return wait
		}
		delay := failureDelay
		if errors.Is(err, wigeonshift.ErrConditionFailed) {
			delay = s.conflictDelay()
		} else {
			s.recordFailure(err)
		}
		wigeonclock.Sleep(ctx, randomDelay(min(delay<<min(attempt, 7), maxRetryDelay)))
	}
	return renewInterval
}

// recordFailure counts a failed renewal and logs the first one in a row.
func (s *Service) recordFailure(err error) {
	s.scope.Counter("shareRenewalsFailed").Inc(1)
	if !s.failing {
		s.log.WithError(err).Warn("failed to renew the lease of the shared allowance; retrying")
	}
	s.failing = true
}

// hold sets what this instance may use and publishes it.
func (s *Service) hold(parts int, until time.Duration) {
	s.heldParts, s.heldUntil = parts, until
	s.publish()
}

// publish passes on the share that can be used now.
func (s *Service) publish() {
	parts := s.heldParts
	if s.settings.Clock() < s.inheritedFrom {
		parts = max(parts-s.inheritedParts, 0)
	}
	share := float64(parts) / WholeParts
	s.scope.Gauge("share").Update(share)
	s.settings.Publish(share, s.heldUntil)
}
