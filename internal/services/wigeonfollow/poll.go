package wigeonfollow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonstorecall"
)

const (
	// responseTimeout limits the time until a response begins, on top of the poll wait, and the time between two parts of it. A response
	// that arrives slowly, as a large table does over a narrow link, has transferTimeout as a whole.
	responseTimeout = 800 * time.Millisecond
	transferTimeout = 8 * time.Second
	// listTimeout is responseTimeout for a whole table, and the longest one while the store fails.
	listTimeout = 2 * time.Second
	// timeoutStepPerFailure extends the timeout after each failure, so that calls to a slow store succeed eventually.
	timeoutStepPerFailure = 200 * time.Millisecond
	// arrivalGap is the time without a part of a response after which it doesn't count as arriving any more.
	arrivalGap = 400 * time.Millisecond
	// minPollAge is the age of a poll from which another one is made beside it. A younger one may just be on its way.
	minPollAge = 250 * time.Millisecond
	// maxRunningPolls bounds the calls of one table that run beside each other.
	maxRunningPolls = 3
)

// errNoResponse reports a call whose response hasn't begun in time, or has stopped arriving.
var errNoResponse = errors.New("no response of the store in time")

// storeCall is a call to the store that returns rows.
type storeCall func(ctx context.Context) (wigeonshift.TablePage, error)

// pollRequest is a call to the store that runs.
type pollRequest struct {
	call    storeCall
	cancel  context.CancelFunc
	results chan<- pollResult
	// startedAt is the start of the call, responseDue the time by which the response has to begin.
	startedAt, responseDue time.Time
	// arrival tells what has arrived of the response.
	arrival *wigeonstorecall.Arrival
}

// pollResult is the store's response to a call.
type pollResult struct {
	request *pollRequest
	page    wigeonshift.TablePage
	err     error
}

// silenceLeft returns how long the response may still be silent. It isn't positive if the response hasn't begun in time or no longer
// arrives.
func (r *pollRequest) silenceLeft() time.Duration {
	due := r.responseDue
	if latest := r.arrival.Latest(); !latest.IsZero() {
		due = latest.Add(responseTimeout)
	}
	return time.Until(due)
}

// nextCheck returns the time until which the call needn't be given up. requested is set if there is a request to poll again.
func (r *pollRequest) nextCheck(requested bool) time.Duration {
	if requested {
		return min(r.silenceLeft(), time.Until(r.startedAt.Add(minPollAge)))
	}
	return r.silenceLeft()
}

// transferTime returns the time from the beginning to the end of the response.
func (r *pollRequest) transferTime() time.Duration { return r.arrival.Latest().Sub(r.arrival.First()) }

// isReceiving reports whether the response is arriving.
func (r *pollRequest) isReceiving() bool { return time.Since(r.arrival.Latest()) < arrivalGap }

// run sends the store's response to results. It waits until the follower takes it, which it does between any two polls, or has no use
// for it any more.
func (r *pollRequest) run(ctx context.Context) {
	page, err := r.call(ctx)
	select {
	case r.results <- pollResult{request: r, page: page, err: err}:
	case <-ctx.Done():
	}
}

// runningPolls are the calls for one table that run: mostly one, and earlier ones that have had no response yet. The zero value is ready
// for use.
type runningPolls struct {
	mu sync.Mutex
	// all holds the latest call last.
	all []*pollRequest
}

// add adds a call. If there are too many, it ends the latest of the others, as the earlier ones are likely to be answered sooner.
func (p *runningPolls) add(r *pollRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, r)
	if len(p.all) <= maxRunningPolls {
		return
	}
	p.all[maxRunningPolls-1].cancel()
	p.all = slices.Delete(p.all, maxRunningPolls-1, maxRunningPolls)
}

// end removes a call that has ended.
func (p *runningPolls) end(r *pollRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.cancel()
	p.all = slices.DeleteFunc(p.all, func(other *pollRequest) bool { return other == r })
}

// endAll ends all calls. Their responses would take a part of the link and tell nothing new.
func (p *runningPolls) endAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.all {
		r.cancel()
	}
	p.all = nil
}

// isReceiving reports whether the response to any call is arriving.
func (p *runningPolls) isReceiving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.all, (*pollRequest).isReceiving)
}

// await waits for the response to a call, or to an earlier poll that has changes which aren't known. It gives the call up if its response
// hasn't begun in time or stops arriving, or if there is a request to poll again, the call is old enough and no response is arriving.
// Then the call runs on beside the next one. A response ends all other polls.
func (f *follower) await(ctx context.Context, own *pollRequest, requests <-chan struct{}) (wigeonshift.TablePage, error) {
	requested := false
	for {
		timer := time.NewTimer(own.nextCheck(requested))
		select {
		case r := <-f.results:
			f.polls.end(r.request)
			if r.request == own && r.err != nil {
				return wigeonshift.TablePage{}, r.err
			}
			if r.request == own || f.isNews(r) {
				f.countAnswer(r.request == own)
				f.transferTime = r.request.transferTime()
				f.polls.endAll()
				return r.page, nil
			}
		case <-requests:
			requested = !f.polls.isReceiving()
		case <-timer.C:
		case <-ctx.Done():
			return wigeonshift.TablePage{}, ctx.Err()
		}
		timer.Stop()
		if requested && time.Since(own.startedAt) >= minPollAge {
			return wigeonshift.TablePage{}, errRepoll
		}
		if own.silenceLeft() <= 0 {
			return wigeonshift.TablePage{}, errNoResponse
		}
	}
}

// countAnswer counts an answer that isn't the one to the latest call.
func (f *follower) countAnswer(isOwn bool) {
	if !isOwn {
		f.scope.Tagged(map[string]string{"table": f.table.String()}).Counter("lateAnswers").Inc(1)
	}
}

// startPoll starts a poll for changes after those that are known. The store holds it up to wait without changes.
func (f *follower) startPoll(ctx context.Context, wait, timeout time.Duration) *pollRequest {
	table, after := f.table, f.knownRevision.Load()
	return f.start(ctx, timeout, func(ctx context.Context) (wigeonshift.TablePage, error) {
		return f.store.Follow(ctx, table, after, wait)
	})
}

// startListing starts a listing of the whole table.
func (f *follower) startListing(ctx context.Context, timeout time.Duration) *pollRequest {
	f.polls.endAll()
	return f.start(ctx, timeout, func(ctx context.Context) (wigeonshift.TablePage, error) {
		return f.store.List(ctx, f.table)
	})
}

// start starts a call whose response is to begin within a timeout. It runs in its own goroutine, so that a store that hangs can't hold up
// the follower.
func (f *follower) start(ctx context.Context, timeout time.Duration, call storeCall) *pollRequest {
	now := time.Now()
	r := &pollRequest{call: call, startedAt: now, responseDue: now.Add(timeout), results: f.results}
	ctx, r.cancel = context.WithTimeout(ctx, timeout+transferTimeout)
	ctx, r.arrival = wigeonstorecall.WithArrival(ctx)
	f.polls.add(r)
	go r.run(ctx) // It ends with ctx, also if nobody waits for its result any more.
	return r
}

// isNews reports whether the response to an earlier poll has changes that aren't known.
func (f *follower) isNews(r pollResult) bool {
	return r.err == nil && f.listed && r.page.Era == f.era && r.page.Revision > f.knownRevision.Load() && len(r.page.Rows) > 0
}

// takeNews returns the response to an earlier poll that came while none was made, if its changes aren't known yet.
func (f *follower) takeNews() *pollResult {
	r := f.news
	f.news = nil
	if r == nil || !f.isNews(*r) {
		return nil
	}
	r.page = f.unseen(r.page)
	return r
}

// unseen returns a page without the rows that are known: another poll, which may have been answered later, has delivered them.
func (f *follower) unseen(page wigeonshift.TablePage) wigeonshift.TablePage {
	known := f.knownRevision.Load()
	page.Rows = slices.DeleteFunc(page.Rows, func(r wigeonshift.TableRow) bool { return r.Revision <= known })
	return page
}
