package wigeonshift

import "context"

// PeerMessage is a message between instances. The wire codec must support every implementation.
type PeerMessage interface {
	peerMessage()
}

// Messages from entry instances to owners.
type (
	// PermitAsk asks for a permit.
	PermitAsk struct {
		Request PermitRequest
	}
	// PermitCancel withdraws a request that has not been granted yet, or returns a granted permit unused.
	PermitCancel struct {
		Shard   ShardID
		Request RequestID
	}
	// AttemptNotice carries a report on an attempt made with a permit.
	AttemptNotice struct {
		Report AttemptReport
	}
	// OwnerAsk asks who owns a shard. The owner replies with an OwnerNotice, other instances with NotOwner.
	OwnerAsk struct {
		Shard ShardID
	}
	// RunningNotice lists all running attempts of an entry instance in a shard, after a takeover or a reconnect.
	RunningNotice struct {
		Shard ShardID
		// Epoch is the newest epoch that the entry instance has seen for the shard.
		Epoch    uint64
		Attempts []RunningAttempt
	}
)

// Messages from owners to entry instances and to owners of other shards.
type (
	// PermitReply carries an owner's answer to one permit request.
	PermitReply struct {
		Shard   ShardID
		Request RequestID
		Epoch   uint64
		Answer  PermitAnswer
	}
	// NotOwner redirects a sender to Owner. Owner is empty if the replying instance doesn't know the owner.
	NotOwner struct {
		Shard   ShardID
		Request RequestID
		Owner   Instance
	}
	// OwnerNotice announces the owner of a shard, after a takeover and when an owner hands its shard over before a
	// planned stop.
	OwnerNotice struct {
		Shard ShardID
		Epoch uint64
		Owner Instance
		// Release is set when the sender has just released the lease.
		Release bool
	}
	// ShardSummary tells the other shards of a pool about the shard's free capacity and its lowest-priority work, which
	// higher-priority requests could preempt or displace.
	ShardSummary struct {
		Shard ShardID
		Epoch uint64
		// LowestPriorityRunning is the largest tier rank (lowest priority) among the running requests; -1 if there are none.
		LowestPriorityRunning TierRank
		// LowestPriorityQueued is the largest tier rank (lowest priority) among the queued requests; -1 if there are none.
		LowestPriorityQueued TierRank
		// FreeSlots is the number of requests that the shard could dispatch immediately.
		FreeSlots int
	}
)

// Messages about the configuration.
type (
	// ConfigurationPush carries consecutive changes in version order.
	ConfigurationPush struct {
		Changes []Change
	}
	// ConfigurationAsk reports the sender's version and asks for newer changes.
	ConfigurationAsk struct {
		Have uint64
	}
	// EndpointsAsk asks for the endpoint records if the receiver has a newer revision than the sender.
	EndpointsAsk struct {
		Have uint64
	}
	// EndpointsSnapshot carries the records of all endpoints as the sender last read them from the store.
	EndpointsSnapshot struct {
		// Revision is the newest revision of the rows.
		Revision uint64
		Rows     []TableRow
		// Instances holds all instances, the sender included; empty if the sender doesn't know them all.
		Instances []Instance
	}
	// ConfigurationSnapshot carries a complete configuration as JSON.
	ConfigurationSnapshot struct {
		Version  uint64
		Document []byte
	}
	// ConfigurationHave reports the sender's active version, for example to acknowledge a push.
	ConfigurationHave struct {
		Version uint64
	}
)

// Messages between instances that schedule requests without a shard owner.
type (
	// EndpointLoad is the load that the sender's running requests put on one endpoint.
	EndpointLoad struct {
		Endpoint string
		Running  int
		// PrefillTokens is the total length of the prompts whose responses have no first event yet.
		PrefillTokens int
		// ReservedTokens is the memory, in tokens, that the running requests may need.
		ReservedTokens int
		// Rejections is the number of the sender's requests that the endpoint has rejected while it was brittle.
		Rejections int
	}
	// OrganisationUse is the part of an organisation's quota that the sender has used since its start.
	OrganisationUse struct {
		Organisation string
		Units        float64
		// RemainingUnits is the remaining quota over all instances, as estimated by the sender.
		RemainingUnits float64
	}
	// ServiceWait counts the requests that are queued at the sender for one service.
	ServiceWait struct {
		Service string
		// QueuedByLevel counts the requests by priority level; level 0 is served first.
		QueuedByLevel []int
	}
	// EndpointLimitUse reports the limit of an endpoint, as the sender knows it, and how much of it the sender has used.
	EndpointLimitUse struct {
		Endpoint string
		// StartedAtMillis tells the incarnations of the endpoint apart.
		StartedAtMillis int64
		// Generation counts the changes of the limit.
		Generation uint64
		// RequestsPerSecond is the latest limit. Ended is set if the endpoint no longer names one.
		RequestsPerSecond float64
		Ended             bool
		// Sent is the number of requests that the sender has sent to the endpoint since it knows of a limit.
		Sent uint64
	}
	// LoadNotice reports the load that the sender puts on endpoints, its quota use and its queues.
	LoadNotice struct {
		// ConfigurationVersion is the sender's active version; 0 if it has none.
		ConfigurationVersion uint64
		// EndpointsRevision is the newest revision of an endpoint record that the sender has.
		EndpointsRevision uint64
		// Endpoints lists every endpoint on which the sender runs requests.
		Endpoints     []EndpointLoad
		Organisations []OrganisationUse
		// Services lists every service with queued requests.
		Services []ServiceWait
		// Leaving lists the incarnations of endpoints that leave, or have gone a short while ago, in the sender's list of
		// EndpointsRevision. They are written as in Crash.Endpoint.
		Leaving []string
		// Limits lists endpoints that name limits, or did so until a short while ago.
		Limits []EndpointLimitUse
		// Misplaced lists the incarnations of endpoints that get no requests of the sender for a while, because another endpoint
		// has their address. They are written as in Crash.Endpoint.
		Misplaced []string
		// QuarantineRevision is the newest revision of a quarantine row that the sender has.
		QuarantineRevision uint64
		// CrashEvidence is what the sender shares of crashes and the store has not shown it yet.
		CrashEvidence
		// Rollouts has at most MaxRolloutReports entries.
		Rollouts []RolloutReport
	}
)

func (LoadNotice) peerMessage()            {}
func (PermitAsk) peerMessage()             {}
func (PermitCancel) peerMessage()          {}
func (AttemptNotice) peerMessage()         {}
func (OwnerAsk) peerMessage()              {}
func (RunningNotice) peerMessage()         {}
func (PermitReply) peerMessage()           {}
func (NotOwner) peerMessage()              {}
func (OwnerNotice) peerMessage()           {}
func (ShardSummary) peerMessage()          {}
func (ConfigurationPush) peerMessage()     {}
func (ConfigurationAsk) peerMessage()      {}
func (EndpointsAsk) peerMessage()          {}
func (EndpointsSnapshot) peerMessage()     {}
func (ConfigurationSnapshot) peerMessage() {}
func (ConfigurationHave) peerMessage()     {}

// PeerHandler handles messages from other instances. It must not block.
type PeerHandler func(from Instance, m PeerMessage)

// PeerNetwork sends messages between instances. Messages to one instance arrive in order within a session. When a
// session ends, any of its messages may be lost.
type PeerNetwork interface {
	// Self returns this instance.
	Self() Instance
	// Send sends a message and opens a session if there is none. A message to Self is delivered locally.
	Send(ctx context.Context, to Instance, m PeerMessage) error
	// Subscribe adds a handler for all messages. It must be called before the network starts.
	Subscribe(h PeerHandler)
	// SubscribePeerLost adds a handler that is called when the last session with an instance ends.
	SubscribePeerLost(h func(Instance))
}

// Membership is this instance's view of the live instances: the platform's list, corrected by what this instance
// observes on its own sessions.
type Membership interface {
	// Live returns the instances that may hold leases, including this one, ordered by ID.
	Live() []Instance
	// Changed returns a channel that is closed when the view changes.
	Changed() <-chan struct{}
}

// PermitBroker asks shard owners for permits on behalf of an entry instance. It finds the owner and follows
// redirects. After a change of owner it repeats open requests to the new owner and reports running attempts to it.
type PermitBroker interface {
	// RequestPermit sends a permit request. The session is open until Close.
	RequestPermit(ctx context.Context, r PermitRequest) (PermitSession, error)
}

// PermitSession is the exchange with the shard owner about one request.
type PermitSession interface {
	// Answers delivers grants, refusals and revocations. It omits permits of an old epoch.
	Answers() <-chan PermitAnswer
	// Report sends the state of the attempt to the owner.
	Report(r AttemptReport)
	// Close ends the session and returns an unused grant to the owner.
	Close()
}
