package wigeonrelay

import (
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// decision is what the reducer decided for one request.
type decision = wigeondispatch.Effect

// Dispatcher runs the reducer for all requests of the instance.
type Dispatcher struct {
	log   logrus.FieldLogger
	scope tally.Scope
	start time.Time

	mu    sync.Mutex
	state *wigeondispatch.State
	// waiting holds the calls that take decisions.
	waiting map[wigeondispatch.JobID]*call
	nextID  wigeondispatch.JobID
	// changes counts events that may have changed the load of this instance.
	changes uint64
}

// NewDispatcher returns a dispatcher without endpoints.
func NewDispatcher(settings wigeondispatch.Settings, log logrus.FieldLogger, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		log:     log,
		scope:   scope,
		start:   time.Now(),
		state:   wigeondispatch.New(settings),
		waiting: map[wigeondispatch.JobID]*call{},
	}
}

// Now is the instance's monotonic time.
func (d *Dispatcher) Now() time.Duration { return time.Since(d.start) }

// Configure takes a configuration over.
func (d *Dispatcher) Configure(c *wigeonshift.RoutingConfiguration) {
	d.reduce(wigeondispatch.Configured{At: d.Now(), Configuration: c})
}

// SetEndpoints replaces the endpoints.
func (d *Dispatcher) SetEndpoints(records []wigeonshift.EndpointRecord) {
	d.reduce(wigeondispatch.EndpointsListed{At: d.Now(), Records: records})
}

// SetInstances replaces the instances, this one included.
func (d *Dispatcher) SetInstances(instances []wigeonshift.Instance) {
	d.reduce(wigeondispatch.InstancesListed{At: d.Now(), Instances: instances})
}

// ReportPeer takes another instance's load.
func (d *Dispatcher) ReportPeer(peer string, load wigeonshift.LoadNotice) {
	d.reduce(wigeondispatch.PeerReported{At: d.Now(), Peer: peer, Load: load})
}

// LosePeer forgets another instance's load.
func (d *Dispatcher) LosePeer(peer string) {
	d.reduce(wigeondispatch.PeerLost{At: d.Now(), Peer: peer})
}

// Tick lets time pass.
func (d *Dispatcher) Tick() { d.reduce(wigeondispatch.Ticked{At: d.Now()}) }

// Load returns the instance's own load and the number of changes up to it.
func (d *Dispatcher) Load() (wigeonshift.LoadNotice, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Load(), d.changes
}

// Changes returns the number of events that may have changed the load.
func (d *Dispatcher) Changes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// InFlight returns the number of requests that wait or run.
func (d *Dispatcher) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// submit hands a call's request in.
func (d *Dispatcher) submit(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	c.job.ID = d.nextID
	d.waiting[c.job.ID] = c
	d.apply(wigeondispatch.Arrived{At: c.job.Arrived, Job: c.job})
}

// forget ends the delivery of decisions to a call.
func (d *Dispatcher) forget(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, c.job.ID)
	d.apply(wigeondispatch.Left{At: d.Now(), Job: c.job.ID})
}

func (d *Dispatcher) reduce(e wigeondispatch.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(e)
}

// apply reduces an event and hands the effects on; the lock is held.
func (d *Dispatcher) apply(e wigeondispatch.Event) {
	switch e.(type) {
	case wigeondispatch.Arrived, wigeondispatch.Began, wigeondispatch.Ended:
		d.changes++
	}
	for _, effect := range d.state.Reduce(e) {
		switch x := effect.(type) {
		case wigeondispatch.Dispatch:
			d.changes++
			d.deliver(x.Job, x)
		case wigeondispatch.Refuse:
			d.deliver(x.Job, x)
		case wigeondispatch.Failure:
			d.deliver(x.Job, x)
		case wigeondispatch.Abandon:
			if c := d.waiting[x.Job]; c != nil {
				c.abandon()
			}
		case wigeondispatch.Suspect:
			d.scope.Counter("suspects").Inc(1)
			d.log.WithFields(logrus.Fields{
				"endpoint": x.EndpointID, "failures": x.Failures, "pauseMs": x.For.Milliseconds(),
			}).Warn("endpoint suspected")
		}
	}
}

func (d *Dispatcher) deliver(id wigeondispatch.JobID, x decision) {
	if c := d.waiting[id]; c != nil {
		c.decisions <- x
	}
}
