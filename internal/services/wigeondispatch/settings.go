package wigeondispatch

import "time"

// Settings are the bounds that the deployment gives.
type Settings struct {
	// RetryRatio is the share of requests that may be sent once more, over all instances.
	RetryRatio float64
	// RetrySlack is the number of resends allowed in a window besides, over all instances.
	RetrySlack float64
	// RetryWindow is the span in which resends are counted.
	RetryWindow time.Duration
	// QuotaOverage is the share by which an organisation's use may exceed its quota in a window.
	QuotaOverage float64
	// QuotaSlack is the number of units by which it may do so besides.
	QuotaSlack float64
	// Instance is the name by which the other instances know this one.
	Instance string
	// Zone is the availability zone of this instance.
	Zone string
}

const (
	// peerReportTimeout is the age at which the figures of an instance of the own group are no longer used,
	// groupReportTimeout that of other groups.
	peerReportTimeout  = 2 * time.Second
	groupReportTimeout = 8 * time.Second
	// foreignShare is the share of its slots up to which an endpoint of another group may be used.
	foreignShare = 0.75
	// endpointFullRetry is the advice when no endpoint is known.
	endpointFullRetry = 500 * time.Millisecond
	// minWaitShare is the share of its objective that any request may wait and still go before late ones.
	minWaitShare = 0.4
	// lateHold is how long a request that will be late waits behind others before it is refused.
	lateHold = 50 * time.Millisecond
	// holdShare is the share of a request's time that it may wait for an endpoint.
	holdShare = 0.45
	// queueTarget is the largest time that a request waits in an endpoint's own queue by choice.
	queueTarget = 400 * time.Millisecond
	// overageShare and slackShare are the parts of the quota's tolerance that are granted; the rest covers what
	// instances grant before they hear of each other.
	overageShare = 0.6
	slackShare   = 0.4
	// minTimeout is the least time left with which a request is sent.
	minTimeout = 20 * time.Millisecond
)

// overshoot is the number of requests beyond its slots that an endpoint may get, so that its own queue keeps it busy while
// instances learn of a free slot.
const overshoot = 1

// movedOvershoot is the number of requests beyond its slots that an endpoint may get for a caller that waits in the
// middle of its answer.
const movedOvershoot = 4
