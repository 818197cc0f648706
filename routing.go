package wigeonshift

import (
	"context"
	"time"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent marks requests that run at most once.
	RouteNonIdempotent RouteKind = "nonIdempotent"
	// RouteStreaming marks requests that are answered by an event stream.
	RouteStreaming RouteKind = "streaming"
)

// RouteTarget is one service that takes a share of a route's requests.
type RouteTarget struct {
	Service string
	// Weight is relative to the weights of the route's other targets and never negative.
	Weight int
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may take; zero means no limit.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap time.Duration
	// Tier is the rank of the route's requests; 0 is the highest.
	Tier TierRank
	// Targets has at least one entry.
	Targets []RouteTarget
	// MaxAttempts is the largest number of endpoints that one request may be sent to, at least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another endpoint after the last whole event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent once more from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent
}

// EngineProfile is what the configuration says of a service's model engines.
type EngineProfile struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the memory for prompts and answers.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// RoutedService is a named set of endpoints.
type RoutedService struct {
	Name string
	// MaxConnections bounds the connections to one endpoint from all instances together; zero means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineProfile
}

// RoutedOrganisation is a customer with its API keys and quota.
type RoutedOrganisation struct {
	Name string
	Keys []string
	// Tier goes before the route's when HasTier is set.
	Tier    TierRank
	HasTier bool
	// UnitsPerSecond and Burst are the quota over all instances; a zero rate means no limit.
	UnitsPerSecond float64
	Burst          float64
	// CountsTokens says that a request counts by its tokens; otherwise it counts as one unit.
	CountsTokens bool
	// PlainTokens is the count of a request without tokens.
	PlainTokens int
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RoutingConfiguration is one version of everything that decides where requests may go.
type RoutingConfiguration struct {
	// Version only rises.
	Version       uint64
	Routes        []Route
	Services      []RoutedService
	Organisations []RoutedOrganisation
	Limits        CallerLimits
}

// EndpointRecord is what an endpoint says of itself in the registry.
type EndpointRecord struct {
	// ID names one incarnation, together with Born.
	ID      string
	Service string
	// Address is the IP number and port.
	Address string
	Zone    string
	// Slots is the number of requests that the endpoint runs at once; zero when it doesn't say.
	Slots int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Born is the start of the incarnation as Unix milliseconds; zero when it doesn't say.
	Born int64
}

// TableRow is a row of the platform's store together with the revision of its last change.
type TableRow struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted rows have no value.
	Deleted bool
}

// TablePage is a set of rows as of one revision of the store.
type TablePage struct {
	Rows []TableRow
	// Revision is the store's revision from which to go on.
	Revision uint64
}

// RoutingStore reads and follows the tables that routing depends on.
type RoutingStore interface {
	// List returns all rows of a table.
	List(ctx context.Context, table RoutingTable) (TablePage, error)
	// Follow waits up to wait for changes after a revision. Its error wraps ErrHistoryLost when the changes are gone.
	Follow(ctx context.Context, table RoutingTable, after uint64, wait time.Duration) (TablePage, error)
	// PutInstance writes the row by which other instances find this one.
	PutInstance(ctx context.Context, key string, value []byte) error
}

// RoutingTable names a table of the routing store.
type RoutingTable int

// Tables of the routing store.
const (
	// TableConfiguration holds the configuration.
	TableConfiguration RoutingTable = iota
	// TableEndpoints holds the endpoints' records.
	TableEndpoints
	// TableInstances holds the instances' rows.
	TableInstances
)

// RoutingCodec decodes rows of the routing store.
type RoutingCodec interface {
	// Configuration decodes a row; ok is false for rows of other content.
	Configuration(row TableRow) (c *RoutingConfiguration, ok bool, err error)
	// Endpoint decodes a row. Its error means that the row names no endpoint to use.
	Endpoint(row TableRow) (EndpointRecord, error)
}
