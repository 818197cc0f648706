package wigeonshift

import (
	"context"
	"time"
)

// RouteKind determines whether and how a route's requests may be retried.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent marks requests that run at most once.
	RouteNonIdempotent RouteKind = "nonIdempotent"
	// RouteStreaming marks requests whose response is an event stream.
	RouteStreaming RouteKind = "streaming"
)

// RouteTarget is a service that receives a share of a route's requests.
type RouteTarget struct {
	Service string
	// Weight is relative to the weights of the route's other targets. It is never negative.
	Weight int
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout limits the duration of a request; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the target latency of a response, or of the first event of a stream.
	LatencyObjective time.Duration
	// EventGapTarget is the target for the longest pause between two events of a stream.
	EventGapTarget time.Duration
	// Tier is the rank of the route's requests; 0 is the highest.
	Tier TierRank
	// Targets has at least one entry.
	Targets []RouteTarget
	// MaxAttempts is the largest number of endpoints to which one request may be sent, at least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another endpoint after the last complete event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be resent from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent
}

// EngineProfile describes the model engines of a service, as configured.
type EngineProfile struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the memory for prompts and responses, in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// RoutedService is a named set of endpoints.
type RoutedService struct {
	Name string
	// MaxConnections limits the total number of connections from all instances to one endpoint; zero means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineProfile
}

// RoutedOrganisation is a customer with its API keys and quota.
type RoutedOrganisation struct {
	Name string
	Keys []string
	// Tier overrides the route's tier when HasTier is set.
	Tier    TierRank
	HasTier bool
	// UnitsPerSecond and Burst are the quota over all instances; zero UnitsPerSecond means no limit.
	UnitsPerSecond float64
	Burst          float64
	// CountsTokens means that a request uses one unit of the quota per token; otherwise it uses one unit.
	CountsTokens bool
	// DefaultTokens is the number of tokens counted for a request that has none.
	DefaultTokens int
}

// CallerLimits holds the limits on what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RoutingConfiguration is one version of all settings that determine where requests may be sent.
type RoutingConfiguration struct {
	// Version never decreases.
	Version       uint64
	Routes        []Route
	Services      []RoutedService
	Organisations []RoutedOrganisation
	Limits        CallerLimits
}

// EndpointRecord is the entry that an endpoint writes about itself in the registry.
type EndpointRecord struct {
	// ID identifies one incarnation of the endpoint, together with StartedAtMillis.
	ID      string
	Service string
	// Address is the IP number and port.
	Address string
	Zone    string
	// Slots is the number of requests that the endpoint runs concurrently; zero if not given.
	Slots int
	// Leaving endpoints take no new requests.
	Leaving bool
	// StartedAtMillis is the start time of the incarnation in Unix milliseconds; zero if not given.
	StartedAtMillis int64
	// Version is the version of the endpoint's software; empty if not given.
	Version string
}

// TableRow is a row of the platform's store with the revision of its last change.
type TableRow struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted rows have no value.
	Deleted bool
}

// TablePage is a set of rows at one revision of the store.
type TablePage struct {
	Rows []TableRow
	// Revision is the store revision to continue from.
	Revision uint64
	// Era rises each time the store returns from an older copy. The changes of the seconds before are then lost and their
	// revisions are given out again; zero if the store tells no era.
	Era uint64
	// NowMillis is the time on the store's clock at which the page was read, in milliseconds. The clock never goes back;
	// zero if the store tells no time.
	NowMillis int64
}

// RoutingStore reads and watches the tables that routing depends on.
type RoutingStore interface {
	// List returns all rows of a table.
	List(ctx context.Context, table RoutingTable) (TablePage, error)
	// Follow waits for changes after a revision, for at most wait. Its error wraps ErrHistoryLost if the store no longer
	// has the changes.
	Follow(ctx context.Context, table RoutingTable, after uint64, wait time.Duration) (TablePage, error)
	// Commit applies a transaction to rows of a table and returns the era in which the store applied it. Its error wraps
	// ErrConditionFailed, ErrUnavailable or ErrThrottled if the transaction had no effect, and otherwise ErrOutcomeUnknown.
	Commit(ctx context.Context, table RoutingTable, tx Transaction) (era uint64, err error)
	// Reconnect makes the next calls use new connections, because those that are open may be dead.
	Reconnect()
}

// RoutingTable identifies a table of the routing store.
type RoutingTable int

// Tables of the routing store.
const (
	// TableConfiguration holds the configuration.
	TableConfiguration RoutingTable = iota
	// TableEndpoints holds the endpoint records.
	TableEndpoints
	// TableInstances holds the instance rows.
	TableInstances
	// TableQuarantine holds the crashes of endpoints by request.
	TableQuarantine
	// TableShares holds the leases by which the instances divide what they share.
	TableShares
	// TableStatus holds the states of rollouts.
	TableStatus
)

// routingTableNames are the names of tables in logs and metrics.
var routingTableNames = [...]string{"configuration", "endpoints", "instances", "quarantine", "shares"}

// String returns the name of the table in logs and metrics.
func (t RoutingTable) String() string { return routingTableNames[t] }

// RoutingCodec decodes rows of the routing store.
type RoutingCodec interface {
	// Configuration decodes a configuration row; ok is false for rows with other content.
	Configuration(row TableRow) (c *RoutingConfiguration, ok bool, err error)
	// Endpoint decodes an endpoint row. An error means that the row describes no usable endpoint.
	Endpoint(row TableRow) (EndpointRecord, error)
	// RolloutOrder decodes the row of a rollout order; ok is false for rows with other content. The order of a deleted row has
	// no target.
	RolloutOrder(row TableRow) (o RolloutOrder, ok bool, err error)
	// RolloutStatus decodes the row of the state of a rollout; ok is false for rows with other content.
	RolloutStatus(row TableRow) (s RolloutStatus, ok bool, err error)
	// EncodeRolloutStatus returns the key and the value of such a row.
	EncodeRolloutStatus(s RolloutStatus) (key string, value []byte, err error)
}
