package wigeongateway

import (
	"context"
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/modules/wigeonstorecall"
)

const (
	// tickInterval is the time between two checks of waiting requests and of the age of peers' loads.
	tickInterval = 50 * time.Millisecond
	// minNoticeInterval is the shortest time between two load notices, minLargeFleetNoticeInterval that in a fleet of more
	// than maxFastNoticeInstances, where the notices of all others take a large part of an instance's processor time.
	minNoticeInterval           = 50 * time.Millisecond
	minLargeFleetNoticeInterval = 100 * time.Millisecond
	maxFastNoticeInstances      = 128
	// maxNoticeInterval is the time after which a notice is sent even if the load has not changed.
	maxNoticeInterval = 500 * time.Millisecond
	// crashNoticeInterval is the shortest time between two notices with crashes, which are repeated while the store is down.
	crashNoticeInterval = 800 * time.Millisecond
	// otherGroupNoticeInterval is the time between two notices to instances of other groups.
	otherGroupNoticeInterval = 2 * time.Second
	// newInstanceNoticeInterval replaces otherGroupNoticeInterval while the sender or the receiver is new.
	newInstanceNoticeInterval = 300 * time.Millisecond
	// announceInterval is the shortest time between two notices to all instances of what the store has withheld.
	announceInterval = 300 * time.Millisecond
	// livenessInterval is the time between two checks of which peers are heard.
	livenessInterval = 100 * time.Millisecond
	// maxPause is the time without a check after which this process counts as paused: the store and the peers may have given up
	// its connections.
	maxPause = time.Second
	// pruneInterval is the time between two checks for idle connections to endpoints.
	pruneInterval = time.Second
	// registerTimeout bounds one write of the instance's row.
	registerTimeout = 2 * time.Second
	// registerRetryDelay is the delay after a failed write.
	registerRetryDelay = 500 * time.Millisecond
	// reregisterMaxDelay bounds the random delay before the row is written again.
	reregisterMaxDelay = time.Second
)

// startLoops starts the background tasks.
func (g *Gateway) startLoops(ctx context.Context) {
	for _, l := range []func(context.Context){g.runTicks, g.runLoadNotices, g.runLiveness, g.runPrune, g.runRegister} {
		g.tasks.Go(func() { l(ctx) })
	}
}

// runTicks periodically makes the dispatcher discard outdated peer loads and dispatch or refuse waiting requests.
func (g *Gateway) runTicks(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if g.follower.HasAllEndpoints() {
				g.dispatcher.SetEndpointsComplete()
			}
			g.dispatcher.Tick()
		case <-ctx.Done():
			return
		}
	}
}

// runLoadNotices sends this instance's load to its peers: to those of its own group at every change, at least every
// maxNoticeInterval, and less often to those of other groups.
func (g *Gateway) runLoadNotices(ctx context.Context) {
	t := time.NewTicker(minNoticeInterval)
	defer t.Stop()
	var reportedChanges uint64
	var reported knownVersions
	var reportedRollouts uint64
	var sameGroupSentAt, otherGroupsSentAt, newInstancesSentAt, crashesSentAt time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		sameGroup, otherGroups := g.membership.peers()
		rolloutChanged := false
		if news := g.dispatcher.RolloutNews(); news != reportedRollouts {
			reportedRollouts = news
			g.announcing.Store(true)
			rolloutChanged = true
		}
		changed := rolloutChanged || g.dispatcher.LoadChanges() != reportedChanges || g.knownVersions() != reported
		instances := 1 + len(sameGroup) + len(otherGroups)
		if !isNoticeDue(time.Since(sameGroupSentAt), changed, instances) {
			continue
		}
		reported = g.knownVersions()
		loadNotice, changes := g.loadNotice(reported)
		reportedChanges, sameGroupSentAt = changes, time.Now()
		if time.Since(crashesSentAt) >= crashNoticeInterval {
			crashesSentAt = sameGroupSentAt
			loadNotice.CrashEvidence = g.quarantine.Unstored()
		}
		g.sendLoadNotice(ctx, sameGroup, loadNotice)
		switch {
		case time.Since(otherGroupsSentAt) >= otherGroupNoticeInterval,
			time.Since(otherGroupsSentAt) >= announceInterval && g.announcing.Swap(false):
			otherGroupsSentAt, newInstancesSentAt = sameGroupSentAt, sameGroupSentAt
			g.sendLoadNotice(ctx, otherGroups, noticeToOtherGroups(loadNotice, instances))
		case time.Since(newInstancesSentAt) >= newInstanceNoticeInterval:
			newInstancesSentAt = sameGroupSentAt
			g.sendLoadNotice(ctx, g.membership.newInstances(sameGroupSentAt), noticeToOtherGroups(loadNotice, instances))
		}
	}
}

// isNoticeDue reports whether a load notice is due at a tick, some time after the latest one.
func isNoticeDue(sinceLatest time.Duration, loadChanged bool, instances int) bool {
	if !loadChanged {
		return sinceLatest >= maxNoticeInterval
	}
	// Half a tick of tolerance keeps a tick that comes early from being skipped.
	return instances <= maxFastNoticeInstances || sinceLatest >= minLargeFleetNoticeInterval-minNoticeInterval/2
}

// noticeToOtherGroups returns a load notice without what only the own group is told in a large fleet: endpoints that leave together may be
// many, and each instance hears of them from the members of its own group.
func noticeToOtherGroups(notice wigeonshift.LoadNotice, instances int) wigeonshift.LoadNotice {
	if instances > maxFastNoticeInstances {
		notice.Leaving = nil
	}
	return notice
}

// knownVersions is what this instance knows of the tables that instances report to each other.
type knownVersions struct {
	// configuration is the version in force, endpoints and quarantine are the highest revisions of any row.
	configuration, endpoints, quarantine uint64
}

func (g *Gateway) knownVersions() knownVersions {
	var v knownVersions
	if table := g.relay.Table(); table != nil {
		v.configuration = table.Configuration.Version
	}
	v.endpoints, _ = g.follower.EndpointsRevision()
	v.quarantine, _ = g.follower.QuarantineRevision()
	return v
}

// loadNotice returns this instance's load notice and the number of changes that it covers.
func (g *Gateway) loadNotice(v knownVersions) (wigeonshift.LoadNotice, uint64) {
	loadNotice, changes := g.dispatcher.Load()
	loadNotice.ConfigurationVersion = v.configuration
	loadNotice.EndpointsRevision, loadNotice.QuarantineRevision = v.endpoints, v.quarantine
	return loadNotice, changes
}

// runLiveness tells the follower which peers are heard, and makes it poll again after a pause of this process or its machine.
func (g *Gateway) runLiveness(ctx context.Context) {
	t := time.NewTicker(livenessInterval)
	defer t.Stop()
	checkedAt := g.dispatcher.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		// The dispatcher's time includes suspensions of the machine.
		at := g.dispatcher.Now()
		pause := at - checkedAt
		checkedAt = at
		if pause >= maxPause {
			g.log.WithField("pausedMs", pause.Milliseconds()).Warn("process was paused; polling the store again")
			g.heard.forget()
			g.pool.DropAllIdle()
			g.follower.Repoll()
		}
		sameGroup, _ := g.membership.peers()
		if g.follower.SetPeersHeard(g.heard.count(sameGroup, time.Now())) {
			g.pool.DropAllIdle()
		}
	}
}

func (g *Gateway) sendLoadNotice(ctx context.Context, peers []wigeonshift.Instance, notice wigeonshift.LoadNotice) {
	// The network reports unreachable peers itself.
	_ = g.network.Broadcast(ctx, peers, notice)
}

// runPrune periodically closes connections to endpoints that have been idle for too long.
func (g *Gateway) runPrune(ctx context.Context) {
	t := time.NewTicker(pruneInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.pool.Prune()
		case <-ctx.Done():
			return
		}
	}
}

// runRegister writes the instance's row to the store, and again whenever the store's list lacks it.
func (g *Gateway) runRegister(ctx context.Context) {
	value, err := g.instanceRow()
	if err != nil {
		g.log.WithError(err).Error("failed to encode the instance's row")
		return
	}
	row := wigeonshift.Transaction{Writes: []wigeonshift.Write{{Key: g.settings.Node.Name, Value: value}}}
	for ctx.Err() == nil {
		g.register(ctx, row)
		select {
		case <-g.registerRequests:
			// The jitter spreads the writes of all instances over time.
			wigeonclock.Sleep(ctx, rand.N(reregisterMaxDelay)) //nolint:gosec // The jitter needs no cryptographic randomness.
		case <-ctx.Done():
		}
	}
}

// register writes the instance's row and retries until a write succeeds.
func (g *Gateway) register(ctx context.Context, row wigeonshift.Transaction) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		wigeonstorecall.Count(g.metrics.Scope(), wigeonshift.TableInstances, wigeonstorecall.Write)
		_, err := g.platform.Store.Commit(callCtx, wigeonshift.TableInstances, row)
		cancel()
		if err == nil {
			g.registered.Store(true)
			g.log.WithField("instance", g.self.ID).Info("instance registered")
			return
		}
		g.log.WithError(err).Warn("failed to write the instance's row; retrying")
		wigeonclock.Sleep(ctx, registerRetryDelay)
	}
}

// requestRegistration makes runRegister write the instance's row again. It drops the request if one is pending already.
func (g *Gateway) requestRegistration() {
	select {
	case g.registerRequests <- struct{}{}:
	default:
	}
}
