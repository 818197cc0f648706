package wigeonfollow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/modules/wigeonstorecall"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// relistDelay is the pause before a table is listed again. It bounds the calls to a store that drops its changes at once.
const relistDelay = 30 * time.Millisecond

// rowHandler processes the rows of one table.
type rowHandler interface {
	// replaceRows replaces the whole content of the table.
	replaceRows(page wigeonshift.TablePage)
	// applyChanges applies changed and deleted rows.
	applyChanges(page wigeonshift.TablePage)
	// handleStoreFailure is called at the first failed call to the store.
	handleStoreFailure()
	// handleStoreRecovery is called at the first successful call after a failure. away is the time since the latest one before that.
	handleStoreRecovery(away time.Duration)
	// handleStoreRestored is called before replaceRows if the store has returned from an older copy, in which the latest
	// rows are missing.
	handleStoreRestored()
}

// follower keeps one table up to date: it lists the table once and then long-polls the store for changes.
type follower struct {
	store   wigeonshift.RoutingStore
	table   wigeonshift.RoutingTable
	handler rowHandler
	log     logrus.FieldLogger
	// scope counts the calls by table and reason.
	scope tally.Scope
	// answerAge is the time between the latest two answers of the store.
	answerAge tally.Gauge
	// nextWait returns how long the store holds the next poll without changes.
	nextWait func() time.Duration
	// firstPollDelay is the pause between the first listing and the first poll.
	firstPollDelay time.Duration
	// batchDelay returns the pause after a change, so that the next poll returns further changes as one batch.
	batchDelay func() time.Duration
	// onFailure is called at the first failed call to the store.
	onFailure func()
	// onRecovery is called at the first answer after a failed call.
	onRecovery func()
	// onMissed is called if a repeated call finds changes that an earlier one has not delivered.
	onMissed func()
	// schedule learns the time on the store's clock.
	schedule *schedule
	// outage is shared by the followers of all tables.
	outage *outage
	// repollRequests holds a pending request to poll again beside the running poll.
	repollRequests chan struct{}
	// results delivers the responses to all calls in polls.
	results chan pollResult
	// polls are the calls that run: the latest one, and earlier ones that have had no response yet.
	polls runningPolls
	// news is the response to an earlier poll that came while the follower waited to call again; nil if there is none.
	news *pollResult

	// listed is set while the table needs no new listing.
	listed bool
	// era is the store's era at the latest listing; everListed is set once there was one.
	era        uint64
	everListed bool
	// knownRevision is the store revision up to which all changes are known, newestRowRevision the highest revision of
	// any row.
	knownRevision, newestRowRevision atomic.Uint64
	// pausing is set during the pause after a change.
	pausing atomic.Bool
	// pollImmediately makes the next poll return without waiting for changes.
	pollImmediately bool
	// transferTime is the time that the latest answer took to arrive.
	transferTime time.Duration
	// changed is set if the latest poll returned changes.
	changed bool
	// repeated is set if the next poll takes the place of a failed one.
	repeated     bool
	failing      atomic.Bool
	failureCount int
	// answeredAt is the time of the latest answer of the store, or of the start.
	answeredAt time.Time
}

// errRepoll reports that a poll was cancelled in favour of a new one.
var errRepoll = errors.New("poll cancelled by a repoll request")

// errRefused reports that a poll was cancelled while the store refuses the calls of the probe.
var errRefused = errors.New("store refuses calls for another table")

// errStoreRestored reports that the store has returned from an older copy since the table was listed.
var errStoreRestored = errors.New("store has returned from an older copy")

// run calls the store until ctx ends. After a failure it waits before the next call. It calls again at once if the poll
// was only cancelled for a new one. If the store has dropped the changes since the last poll or has returned from an older
// copy, the table must be listed again.
func (f *follower) run(ctx context.Context) {
	f.answeredAt = time.Now()
	for ctx.Err() == nil {
		calledAt := time.Now()
		err := f.callStore(ctx)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRepoll) {
			f.handleRepoll(ctx, calledAt)
			continue
		}
		if errors.Is(err, wigeonshift.ErrHistoryLost) || errors.Is(err, errStoreRestored) {
			f.log.WithField("table", f.table).WithError(err).Warn("listing the whole table again")
			f.listed = false
			wigeonclock.Sleep(ctx, relistDelay)
			continue
		}
		f.recordFailure(err, time.Since(calledAt) < maxRefusalTime)
		f.waitToRetry(ctx, calledAt)
	}
}

// handleRepoll handles a poll that was made at a time and was cancelled in favour of a new one. Tables that trust the probe aren't
// polled while the store refuses its calls.
func (f *follower) handleRepoll(ctx context.Context, calledAt time.Time) {
	if f.trustsProbe() && f.awaitProbe(ctx) {
		f.recordFailure(errRefused, true)
		f.waitToRetry(ctx, time.Now())
		return
	}
	if answered, _ := f.outage.endedSince(calledAt); answered && f.failing.Load() {
		f.resume()
		return
	}
	f.log.WithFields(logrus.Fields{
		"table": f.table, "answerAgeMs": time.Since(f.answeredAt).Milliseconds(), "pollAgeMs": time.Since(calledAt).Milliseconds(),
	}).Info("polling the store again")
	f.pollImmediately = true
	f.store.Reconnect()
}

// pollTiming returns how long the store may hold the next call without changes and the timeout of that call. While the
// store fails, the wait is zero so that the recovery is noticed soon, and the timeout grows with each failure so that a
// store that is only slow is reached in the end.
func (f *follower) pollTiming() (wait, timeout time.Duration) {
	if f.failing.Load() {
		return 0, min(responseTimeout+time.Duration(f.failureCount)*timeoutStepPerFailure, listTimeout)
	}
	if !f.listed {
		return 0, listTimeout
	}
	if f.pollImmediately {
		return 0, responseTimeout
	}
	wait = f.nextWait()
	return wait, wait + responseTimeout
}

// callReason returns why the next call is made.
func (f *follower) callReason() wigeonstorecall.Reason {
	switch {
	case f.failing.Load() || f.repeated:
		return wigeonstorecall.Retry
	case !f.listed:
		return wigeonstorecall.List
	case f.pollImmediately:
		return wigeonstorecall.Repoll
	case f.changed:
		return wigeonstorecall.Change
	default:
		return wigeonstorecall.Watch
	}
}

// requestRepoll makes the follower poll again at once, beside the running poll if there is one. It drops the request if
// one is already pending, because one new poll serves both.
func (f *follower) requestRepoll() {
	select {
	case f.repollRequests <- struct{}{}:
	default:
	}
}

// dropRepollRequest drops the pending request to poll again, if there is one.
func (f *follower) dropRepollRequest() {
	select {
	case <-f.repollRequests:
	default:
	}
}

// callStore lists the table if that has not been done yet, and otherwise polls once for changes. After a change it
// pauses for batchDelay, so that the next poll returns further changes as one batch.
func (f *follower) callStore(ctx context.Context) error {
	wait, timeout := f.pollTiming()
	wigeonstorecall.Count(f.scope, f.table, f.callReason())
	if !f.listed {
		return f.list(ctx, timeout)
	}
	page, err := f.poll(ctx, wait, timeout)
	if err != nil {
		return err
	}
	if page.Era != f.era {
		return errStoreRestored
	}
	repeated := f.failing.Load() || f.pollImmediately || f.repeated
	f.repeated = false
	f.recordSuccess()
	f.recordRevisions(page)
	f.changed = len(page.Rows) > 0
	if repeated && len(page.Rows) > 0 {
		f.onMissed()
	}
	if f.changed {
		f.handler.applyChanges(page)
		f.pause(ctx)
	}
	return nil
}

// list lists the table. After the first listing it pauses for firstPollDelay.
func (f *follower) list(ctx context.Context, timeout time.Duration) error {
	page, err := f.await(ctx, f.startListing(ctx, timeout), nil)
	if err != nil {
		return err
	}
	f.recordSuccess()
	first := !f.everListed
	f.applyListing(page)
	if first {
		wigeonclock.Sleep(ctx, f.firstPollDelay)
	}
	return nil
}

// pause waits for further changes after a change. A large answer has taken a part of the pause already.
func (f *follower) pause(ctx context.Context) {
	f.pausing.Store(true)
	wigeonclock.Sleep(ctx, f.batchDelay()-f.transferTime)
	f.pausing.Store(false)
}

// applyListing replaces all rows. The next poll continues from the listing's revision, even if a higher one was known:
// after a return from an older copy the store's revisions are lower than before.
func (f *follower) applyListing(page wigeonshift.TablePage) {
	if f.everListed && page.Era != f.era {
		f.log.WithFields(logrus.Fields{"table": f.table, "era": page.Era, "before": f.era}).
			Warn("store has returned from an older copy")
		f.newestRowRevision.Store(0)
		f.handler.handleStoreRestored()
	}
	f.handler.replaceRows(page)
	f.listed, f.everListed, f.era = true, true, page.Era
	f.knownRevision.Store(page.Revision)
	f.recordRevisions(page)
}

// recordRevisions raises the known revisions to those of a page. The next poll asks for changes after knownRevision.
func (f *follower) recordRevisions(page wigeonshift.TablePage) {
	f.schedule.setStoreTime(page.NowMillis)
	raise(&f.knownRevision, page.Revision)
	for _, row := range page.Rows {
		raise(&f.newestRowRevision, row.Revision)
	}
}

// raise sets a value to a higher one. Other instances' rows are recorded concurrently with those of the store.
func raise(value *atomic.Uint64, to uint64) {
	for {
		current := value.Load()
		if to <= current || value.CompareAndSwap(current, to) {
			return
		}
	}
}

// poll waits for changes until its timeout or until a repoll is requested. Earlier polls that still run may deliver the changes as well:
// if no connection has fallen silent but the store or the link is slow, they are answered first.
func (f *follower) poll(ctx context.Context, wait, timeout time.Duration) (wigeonshift.TablePage, error) {
	if r := f.takeNews(); r != nil {
		return r.page, nil
	}
	select {
	case <-f.repollRequests:
		// This poll serves a request from before it, if it goes on a new connection.
		f.store.Reconnect()
	default:
	}
	own := f.startPoll(ctx, wait, timeout)
	page, err := f.await(ctx, own, f.repollRequests)
	return f.unseen(page), err
}

// recordSuccess ends the failure state after a successful call and tells the handler if the store had been failing.
func (f *follower) recordSuccess() {
	f.pollImmediately = false
	recovered := f.failing.Load()
	f.endFailure()
	now := time.Now()
	f.answerAge.Update(now.Sub(f.answeredAt).Seconds())
	f.answeredAt = now
	f.failureCount = 0
	if recovered {
		f.outage.recordAnswer()
		f.onRecovery()
	}
}

// endFailure ends the failure state, if there is one, and tells the handler.
func (f *follower) endFailure() {
	if f.failing.Load() {
		f.failing.Store(false)
		f.handler.handleStoreRecovery(time.Since(f.answeredAt))
		f.log.WithFields(logrus.Fields{"table": f.table, "failures": f.failureCount}).Info("store is reachable again")
	}
}

// recordFailure counts a failed call. Only the first one of an outage is logged and passed on to the handler and to
// onFailure, because these react to the beginning of an outage. refused is set if the call failed too fast for a silent connection.
func (f *follower) recordFailure(err error, refused bool) {
	f.failureCount++
	if f.isProbe() {
		f.outage.recordFailure(refused)
	}
	if !f.failing.Load() {
		f.failing.Store(true)
		f.handler.handleStoreFailure()
		if f.failureCount > 1 {
			return
		}
		f.onFailure()
		f.log.WithError(err).WithFields(logrus.Fields{
			"table": f.table, "answerAgeMs": time.Since(f.answeredAt).Milliseconds(),
		}).Warn("store is unreachable")
	}
}
