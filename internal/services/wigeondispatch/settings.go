package wigeondispatch

import (
	"time"

	"wigeonshift/internal/services/wigeonquota"
	"wigeonshift/internal/services/wigeonrollout"
)

// Settings are the limits and the identity of an instance, as set by the deployment.
type Settings struct {
	// RetryRatio is the allowed ratio of resends to requests over all instances.
	RetryRatio float64
	// RetrySlack is the number of additional resends allowed in a window over all instances.
	RetrySlack float64
	// RetryWindow is the length of the window in which requests and resends are counted, at least a second.
	RetryWindow time.Duration
	// HedgeShare is the largest ratio of hedges to requests over all instances; zero turns hedges off. HedgePercentile is the share of
	// requests, from 0 to 1, that are answered before a hedge is due.
	HedgeShare, HedgePercentile float64
	// QuotaOverage is the share by which an organisation's use may exceed its quota in a window.
	QuotaOverage float64
	// QuotaSlack is the number of units by which the use may exceed the quota in addition.
	QuotaSlack float64
	// QuotaWindow is the length of the window in which the use of a quota is limited; zero if there is none.
	QuotaWindow time.Duration
	// Rollout bounds what a bad version may get.
	Rollout wigeonrollout.Settings
	// StartedAt is the wall clock time at which the clock of the events was zero.
	StartedAt time.Time
	// Instance is the ID of this instance.
	Instance string
	// Zone is the availability zone of this instance.
	Zone string
	// CrossZonePrice is what it costs to send a request to an endpoint in another availability zone, as a latency.
	CrossZonePrice time.Duration
	// AwaitsList is set if quotas are granted only once all instances are known, and rollouts take the lack of an endpoint for proof
	// only once all endpoints are.
	AwaitsList bool
}

// quotaTolerance returns the amount by which use may exceed a quota.
func (s Settings) quotaTolerance() wigeonquota.Tolerance {
	return wigeonquota.Tolerance{Overage: s.QuotaOverage, Slack: s.QuotaSlack, Window: s.QuotaWindow}
}

const (
	// sameGroupReportTimeout is the maximum age of the latest report of an instance of the same group.
	// otherGroupReportTimeout is the maximum age of the latest report of an instance of another group.
	sameGroupReportTimeout  = 2 * time.Second
	otherGroupReportTimeout = 8 * time.Second
	// otherGroupMaxLoadShare is the share of its slots up to which an endpoint of another group may be used.
	otherGroupMaxLoadShare = 0.75
	// noEndpointRetryAfter is the retry delay if the service has no endpoint.
	noEndpointRetryAfter = 500 * time.Millisecond
	// listRetryAfter is the retry delay while the instances aren't known.
	listRetryAfter = 300 * time.Millisecond
	// minWaitObjectiveShare is the share of its objective that any request may be queued before it counts as late.
	minWaitObjectiveShare = 0.4
	// maxLateWait is the maximum expected wait of a request that will be late. With a longer one the request is refused.
	maxLateWait = 50 * time.Millisecond
	// callerRetryWaitShare is the share of the longest wait of a caller's retry that it may be expected to wait.
	callerRetryWaitShare = 0.25
	// maxWaitShare is the share of the time until a request's deadline, or of its caller's patience if that is shorter, that
	// it may be queued.
	maxWaitShare = 0.45
	// maxEndpointQueueWait is the maximum expected wait in an endpoint's own queue. With a longer one the endpoint gets no
	// more requests.
	maxEndpointQueueWait = 400 * time.Millisecond
	// maxTickGap is the longest time between two Tick events of an instance that runs without pauses.
	maxTickGap = 250 * time.Millisecond
	// minResendTimeLeft is the minimum time left until the deadline for a request to be sent again.
	minResendTimeLeft = 20 * time.Millisecond
)

// maxEndpointQueue is the number of requests beyond its slots that an endpoint may get. Its own queue then keeps it busy
// until the instances learn of a free slot.
const maxEndpointQueue = 1

// maxFailoverEndpointQueue is the number of requests beyond its slots that an endpoint may get if the additional request
// failed over, because its caller may be waiting in the middle of an answer.
const maxFailoverEndpointQueue = 4
