package wigeonrelay

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonquarantine"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// decision is an effect of the reducer that concerns one request.
type decision = wigeondispatch.Effect

// Dispatcher runs the dispatch reducer for all requests of the instance and delivers its decisions to their calls. The
// reducer (wigeondispatch.State) is the decision logic: it turns events into effects, such as sending a request to an
// endpoint, which the dispatcher and its calls carry out.
type Dispatcher struct {
	log   logrus.FieldLogger
	scope tally.Scope
	start wigeonclock.Stopwatch
	// suspended is the time of suspensions, in nanoseconds, that Now includes.
	suspended atomic.Int64

	mu    sync.Mutex
	state *wigeondispatch.State
	// calls holds the calls that are queued or running.
	calls  map[wigeondispatch.JobID]*call
	lastID wigeondispatch.JobID
	// callerAddresses holds the addresses at which instances serve callers, by ID.
	callerAddresses map[string]string
	// startProbe starts a ProbeEndpoint effect, as startCheck does for a check.
	startProbe func(x wigeondispatch.ProbeEndpoint)
	// endsAt is the time at which all calls end because the instance stops; zero while it doesn't.
	endsAt time.Duration
	// crashes shares crashes with the other instances.
	crashes wigeonshift.CrashRecorder
	// startCheck starts a check of an endpoint; its result must come back as an EndpointChecked event. It must not block.
	startCheck func(x wigeondispatch.CheckEndpoint)
	// loadChanges counts events that may have changed the load of this instance.
	loadChanges uint64
}

// DispatcherOption configures a Dispatcher.
type DispatcherOption func(*Dispatcher)

// WithCrashRecorder shares the crashes that the dispatcher notices with the other instances.
func WithCrashRecorder(r wigeonshift.CrashRecorder) DispatcherOption {
	return func(d *Dispatcher) { d.crashes = r }
}

// NewDispatcher returns a dispatcher without endpoints.
func NewDispatcher(
	settings wigeondispatch.Settings, log logrus.FieldLogger, scope tally.Scope, opts ...DispatcherOption,
) *Dispatcher {
	d := &Dispatcher{
		log:     log,
		scope:   scope,
		start:   wigeonclock.NewStopwatch(),
		calls:   map[wigeondispatch.JobID]*call{},
		crashes: noCrashRecorder{},
	}
	settings.StartedAt = d.start.StartedAt()
	d.state = wigeondispatch.New(settings)
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Now returns the monotonic time since the dispatcher was created. It includes suspensions of the machine once MeasureNow
// has noticed them.
func (d *Dispatcher) Now() time.Duration {
	return time.Since(d.start.StartedAt()) + time.Duration(d.suspended.Load())
}

// MeasureNow returns the same time as Now, with all suspensions of the machine up to now. It needs system calls.
func (d *Dispatcher) MeasureNow() time.Duration {
	elapsed := d.start.Elapsed()
	d.suspended.Store(int64(elapsed - time.Since(d.start.StartedAt())))
	return elapsed
}

// Configure applies a configuration.
func (d *Dispatcher) Configure(c *wigeonshift.RoutingConfiguration) {
	d.reduce(wigeondispatch.ConfigurationChanged{At: d.Now(), Configuration: c})
}

// SetEndpoints replaces the endpoints by a list that has all changes up to a revision.
func (d *Dispatcher) SetEndpoints(records []wigeonshift.EndpointRecord, revision uint64) {
	d.reduce(wigeondispatch.EndpointsListed{At: d.Now(), Records: records, Revision: revision})
}

// SetEndpointsComplete records that all endpoints that ran when this instance started are listed.
func (d *Dispatcher) SetEndpointsComplete() {
	d.reduce(wigeondispatch.EndpointsCompleted{At: d.Now()})
}

// SetInstances replaces the instances, this one included. complete is set if these are all instances.
func (d *Dispatcher) SetInstances(instances []wigeonshift.Instance, complete bool) {
	addresses := make(map[string]string, len(instances))
	for _, i := range instances {
		addresses[i.ID] = i.CallerAddress
	}
	d.mu.Lock()
	d.callerAddresses = addresses
	d.mu.Unlock()
	d.reduce(wigeondispatch.InstancesListed{At: d.Now(), Instances: instances, Complete: complete})
}

// SetPeerLoad records the load of another instance.
func (d *Dispatcher) SetPeerLoad(peer string, load wigeonshift.LoadNotice) {
	d.reduce(wigeondispatch.PeerReported{At: d.Now(), Peer: peer, Load: load})
}

// RemovePeer discards the load of another instance that is no longer reachable.
func (d *Dispatcher) RemovePeer(peer string) {
	d.reduce(wigeondispatch.PeerLost{At: d.Now(), Peer: peer})
}

// SetCrashes replaces what the instances know of crashes.
func (d *Dispatcher) SetCrashes(evidence wigeonshift.CrashEvidence) {
	d.reduce(wigeondispatch.CrashesListed{At: d.Now(), CrashEvidence: evidence})
}

// Tick makes the reducer act on the current time.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	tick := wigeondispatch.Tick{At: d.MeasureNow()}
	if d.state.FollowsEvents() {
		tick.Events = d.streamEvents()
	}
	d.apply(tick)
}

// streamEvents returns the number of events of each stream that runs. The caller must hold mu.
func (d *Dispatcher) streamEvents() map[wigeondispatch.JobID]int {
	events := map[wigeondispatch.JobID]int{}
	for id, c := range d.calls {
		if n := c.attemptEvents.Load(); n > 0 {
			events[id] = int(n)
		}
	}
	return events
}

// SetShare sets the part of what all instances share that this instance may use, until a time on the clock of Now.
func (d *Dispatcher) SetShare(share float64, until time.Duration) {
	d.reduce(wigeondispatch.ShareGranted{At: d.Now(), Share: share, Until: until})
}

// EndBy ends all calls within a duration, those that haven't begun as soon as they can't be on time: the instance stops then.
func (d *Dispatcher) EndBy(left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.endsAt = now + left
	for _, c := range d.calls {
		time.AfterFunc(left, c.onStop)
	}
	d.apply(wigeondispatch.StopAnnounced{At: now, EndsAt: d.endsAt})
}

// Load returns the instance's own load and the value of LoadChanges that belongs to it.
func (d *Dispatcher) Load() (wigeonshift.LoadNotice, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Load(), d.loadChanges
}

// LoadChanges returns the number of events that may have changed the load. The gateway compares it with the value at
// its last load notice, to send a new one to other instances soon after a change.
func (d *Dispatcher) LoadChanges() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadChanges
}

// processUse returns how the endpoint's process is used that runs the request of a call, or its hedge.
func (d *Dispatcher) processUse(id wigeondispatch.JobID, isHedge bool) wigeondispatch.ProcessUse {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ProcessUse(id, isHedge)
}

// maySend reports whether an endpoint may still get a request that was dispatched to it.
func (d *Dispatcher) maySend(x wigeondispatch.Dispatch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.MaySend(x, d.Now())
}

// InFlight returns the number of requests that are queued or running.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// submit registers a call and passes its request to the reducer. The call is registered first, because the reducer may
// decide at once.
func (d *Dispatcher) submit(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	c.job.ID = d.lastID
	d.calls[c.job.ID] = c
	if d.endsAt > 0 {
		time.AfterFunc(d.endsAt-d.Now(), c.onStop)
	}
	d.apply(wigeondispatch.RequestArrived{At: c.job.Arrived, Job: c.job})
}

// remove unregisters a call that has ended and withdraws its request from the reducer, which gives back all that the request still
// holds. A dispatch that the call hasn't read starts no attempt, so that nobody else would report its end.
func (d *Dispatcher) remove(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c.job.ID)
	unread := c.hasUnreadDispatch()
	if unread {
		d.loadChanges++
		d.scope.Counter("dispatchesUnread").Inc(1)
		d.log.WithField("request", c.header.RequestID).Info("call ended before it could send its request")
	}
	d.apply(wigeondispatch.RequestWithdrawn{At: d.Now(), Job: c.job.ID, IsUnstarted: unread})
}

// hasUnreadDispatch drops the decisions that the call hasn't read and reports whether one of them is a dispatch. No decision may
// follow.
func (c *call) hasUnreadDispatch() bool {
	found := false
	for {
		select {
		case x := <-c.decisions:
			_, isDispatch := x.(wigeondispatch.Dispatch)
			found = found || isDispatch
		default:
			return found
		}
	}
}

// reduce passes an event to the reducer under the lock, because all calls share the reducer's state.
func (d *Dispatcher) reduce(e wigeondispatch.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(e)
}

// apply reduces an event and carries out the effects: it delivers decisions to their calls, cancels abandoned attempts
// and reports suspects, which are endpoints that get no requests for a while after repeated failures. It counts the
// events and dispatches that may change the load (see loadChanges). The caller must hold mu.
func (d *Dispatcher) apply(e wigeondispatch.Event) {
	switch e.(type) {
	case wigeondispatch.RequestArrived, wigeondispatch.FirstEventReceived, wigeondispatch.AttemptEnded, wigeondispatch.EndpointSignalled:
		d.loadChanges++
	}
	for _, effect := range d.state.Reduce(e) {
		switch x := effect.(type) {
		case wigeondispatch.Dispatch:
			d.loadChanges++
			d.deliver(x.Job, x)
		case wigeondispatch.Hedge:
			d.loadChanges++
			d.grantHedge(x)
		case wigeondispatch.HedgeRefused:
			d.logHedgeRefused(x)
		case wigeondispatch.Refuse:
			d.deliver(x.Job, x)
		case wigeondispatch.Failure:
			d.deliver(x.Job, x)
		case wigeondispatch.Abandon:
			if c := d.calls[x.Job]; c != nil {
				c.abandonAttempt()
			}
		case wigeondispatch.PassOn:
			d.loadChanges++
			d.deliver(x.Job, x)
		case wigeondispatch.ProbeEndpoint:
			d.startProbe(x)
		case wigeondispatch.CutOffRecorded:
			d.logCutOff(x)
		case wigeondispatch.CheckEndpoint:
			d.startCheck(x)
		case wigeondispatch.LossRecorded:
			d.logLoss(x)
		case wigeondispatch.StartTrial:
			d.logTrial(x)
		case wigeondispatch.ReportCrash:
			d.reportCrash(x)
		case wigeondispatch.ReportAnswer:
			d.reportAnswer(x)
		case wigeondispatch.ClearCrashes:
			d.clearCrashes(x)
		case wigeondispatch.RolloutRecorded, wigeondispatch.RolloutAttempt:
			d.recordRollout(x)
		case wigeondispatch.RequestReclaimed, wigeondispatch.CountCorrected:
			d.logAudit(x)
		default:
			d.logEndpointEffect(x)
		}
	}
}

// logEndpointEffect logs and counts what an effect tells of an endpoint.
func (d *Dispatcher) logEndpointEffect(e wigeondispatch.Effect) {
	switch x := e.(type) {
	case wigeondispatch.SignalRecorded:
		d.logSignal(x)
	case wigeondispatch.LeavingReported:
		d.logLeavingReported(x)
	case wigeondispatch.LimitRecorded:
		d.logLimit(x)
	case wigeondispatch.BrittleRecorded:
		d.logBrittle(x)
	case wigeondispatch.Suspect:
		d.logSuspect(x)
	}
}

// logLoss logs that an attempt counts as lost.
func (d *Dispatcher) logLoss(x wigeondispatch.LossRecorded) {
	d.log.WithFields(logrus.Fields{
		"request": x.RequestID, "fingerprint": x.Fingerprint.String(), "content": x.Shared.Content.String(),
		"features": wigeonquarantine.FingerprintTexts(x.Features), "endpoint": x.EndpointID, "startedAt": x.StartedAtMillis, "kind": x.Kind,
	}).Info("attempt counted as lost")
}

// logSuspect logs and counts that an endpoint gets no requests for a while.
func (d *Dispatcher) logSuspect(x wigeondispatch.Suspect) {
	d.scope.Counter("suspects").Inc(1)
	d.log.WithFields(logrus.Fields{
		"endpoint": x.EndpointID, "failures": x.Failures, "misplaced": x.Misplaced, "pauseMs": x.Duration.Milliseconds(),
	}).Warn("endpoint paused after failures")
}

// logCutOff logs that the instance reaches no endpoint, or one again.
func (d *Dispatcher) logCutOff(x wigeondispatch.CutOffRecorded) {
	if x.Ended {
		d.log.WithFields(logrus.Fields{"durationMs": x.Duration.Milliseconds(), "passedOn": x.Passed}).Info("endpoints are reached again")
		return
	}
	d.scope.Counter("cutOffs").Inc(1)
	d.log.WithFields(logrus.Fields{
		"endpoints": x.Endpoints, "peers": x.Peers, "sinceMs": x.Since.Milliseconds(),
	}).Warn("no endpoint is reached; passing requests on to peers")
}

// isCutOff reports whether the instance reaches no endpoint.
func (d *Dispatcher) isCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.IsCutOff()
}

// peerAddress returns the address at which a peer serves callers, and false if it isn't known.
func (d *Dispatcher) peerAddress(id string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	address := d.callerAddresses[id]
	return address, address != ""
}

// logSignal logs and counts what an endpoint has said of itself.
func (d *Dispatcher) logSignal(x wigeondispatch.SignalRecorded) {
	entry := d.log.WithFields(logrus.Fields{"endpoint": x.EndpointID, "startedAt": x.StartedAtMillis, "request": x.RequestID})
	if x.Leaving {
		d.scope.Counter("endpointsLeaving").Inc(1)
		entry.Info("endpoint says that it is leaving")
	}
	if x.Backoff > 0 {
		d.scope.Counter("endpointBackoffs").Inc(1)
		entry.WithField("backoffMs", x.Backoff.Milliseconds()).Info("endpoint wants no requests for a while")
	}
}

// logLeavingReported logs and counts that this instance has learned from a peer, before the store told it, that an endpoint leaves.
func (d *Dispatcher) logLeavingReported(x wigeondispatch.LeavingReported) {
	d.scope.Counter("leavingReported").Inc(1)
	d.log.WithFields(logrus.Fields{"endpoint": x.EndpointID, "startedAt": x.StartedAtMillis, "from": x.Peer}).
		Info("endpoint is leaving, as a peer knows")
}

// deliver passes a decision to its call and drops it if the call has ended. It doesn't block while mu is held, because
// the channel has room for all decisions that a call can have pending.
func (d *Dispatcher) deliver(id wigeondispatch.JobID, x decision) {
	if c := d.calls[id]; c != nil {
		c.decisions <- x
	}
}
