package wigeonshift

import (
	"context"
	"time"
)

// GenerateRequest starts a completion on a model engine.
type GenerateRequest struct {
	Token     AttemptToken `json:"token"`
	Model     string       `json:"model"`
	Prompt    string       `json:"prompt"`
	MaxTokens int          `json:"maxTokens"`
}

// Chunk is a sequence of consecutive generated tokens.
type Chunk struct {
	Token AttemptToken `json:"token"`
	// Offset is the index of the chunk's first token in the response. Chunks arrive without gaps or overlaps.
	Offset int    `json:"offset"`
	Count  int    `json:"count"`
	Text   string `json:"text"`
}

// FinishReason is the reason why a stream ended.
type FinishReason string

// Reasons why a stream ended.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
	FinishPaused FinishReason = "paused"
)

// GenerateResult is the last message of a stream.
type GenerateResult struct {
	Token        AttemptToken `json:"token"`
	Finish       FinishReason `json:"finish"`
	PromptTokens int          `json:"promptTokens"`
	CachedTokens int          `json:"cachedTokens"`
	// TokensDone counts all tokens of the response, including those generated before a resume.
	TokensDone int `json:"tokensDone"`
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Token  AttemptToken
	Method string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	Body        []byte
	// NonIdempotent calls are never sent on a connection that has been idle for long.
	NonIdempotent bool
}

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Token       AttemptToken
	Status      int
	ContentType string
	Body        []byte
}

// LoadReport is the load that an engine reports. It may be outdated.
type LoadReport struct {
	// TakenAt is the time on the engine's clock at which the report was made.
	TakenAt       time.Time `json:"takenAt"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	CachedTokens  int       `json:"cachedTokens"`
	CacheCapacity int       `json:"cacheCapacity"`
	Models        []string  `json:"models"`
	Draining      bool      `json:"draining"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
}

// CacheEventKind is the kind of change to a cache block.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation; a larger step means that events were lost.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// CacheBatch is a sequence of cache events of one incarnation.
type CacheBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetVersion  OrderKind = "setVersion"
	OrderSetRole     OrderKind = "setRole"
)

// Order is an administrative instruction to an engine, such as loading a model.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Subject is the model, adapter, version or role that the order names.
	Subject string `json:"subject"`
	// Fence is the fencing number: the shard's lease epoch, which never decreases.
	Fence uint64 `json:"fence"`
}

// Endpoint is the client of one back end: a model engine or a plain service. Errors of Generate, Resume and Call wrap
// ErrNotRun only if the request provably did not begin.
type Endpoint interface {
	// Generate runs a completion and passes its chunks to sink in order. It calls onStart before it writes the first
	// byte that the endpoint may read. An error from sink cancels the stream.
	Generate(ctx context.Context, r GenerateRequest, onStart func(), sink func(Chunk) error) (GenerateResult, error)
	// Resume continues a paused or broken stream from a token offset on the same engine.
	Resume(ctx context.Context, token AttemptToken, offset int, sink func(Chunk) error) (GenerateResult, error)
	// Pause stops a stream at a token boundary; the engine keeps its state.
	Pause(ctx context.Context, token AttemptToken) error
	// Cancel ends a stream and discards its state.
	Cancel(ctx context.Context, token AttemptToken) error
	// ExportKV returns the state (KV cache) of a paused stream.
	ExportKV(ctx context.Context, token AttemptToken) ([]byte, error)
	// ImportKV loads the state of a stream that another engine exported. The token is a new one for the stream on
	// this engine.
	ImportKV(ctx context.Context, token AttemptToken, state []byte) error
	// Call sends one call to a plain service.
	Call(ctx context.Context, c ServiceCall, onStart func()) (ServiceAnswer, error)
	// Load fetches the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number. They may be late and have gaps.
	CacheEvents(ctx context.Context, after uint64) (CacheBatch, error)
	// SendOrder sends an order. It returns ErrStaleFence if the endpoint rejects the fencing number as outdated.
	SendOrder(ctx context.Context, o Order) error
}

// EndpointDialer creates endpoint clients.
type EndpointDialer interface {
	// Endpoint returns the client for an address. Clients for the same address share connections.
	Endpoint(address string) Endpoint
}
