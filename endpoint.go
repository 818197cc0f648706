package wigeonshift

import (
	"context"
	"time"
)

// GenerateRequest starts a completion at a model engine.
type GenerateRequest struct {
	Token     AttemptToken `json:"token"`
	Model     string       `json:"model"`
	Prompt    string       `json:"prompt"`
	MaxTokens int          `json:"maxTokens"`
}

// Chunk is a run of generated text.
type Chunk struct {
	Token AttemptToken `json:"token"`
	// Offset is the index of the chunk's first token in the answer; chunks arrive without gap or overlap.
	Offset int    `json:"offset"`
	Count  int    `json:"count"`
	Text   string `json:"text"`
}

// FinishReason tells why a stream ended.
type FinishReason string

// Reasons of a finished stream.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
	FinishPaused FinishReason = "paused"
)

// GenerateResult closes a stream.
type GenerateResult struct {
	Token        AttemptToken `json:"token"`
	Finish       FinishReason `json:"finish"`
	PromptTokens int          `json:"promptTokens"`
	CachedTokens int          `json:"cachedTokens"`
	// TokensDone counts all tokens of the answer, those before a resume included.
	TokensDone int `json:"tokensDone"`
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Token  AttemptToken
	Method string
	// Path starts with a slash and carries the query.
	Path        string
	ContentType string
	Body        []byte
	// NonIdempotent calls never go on a connection that has been idle for long.
	NonIdempotent bool
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Token       AttemptToken
	Status      int
	ContentType string
	Body        []byte
}

// LoadReport is an engine's own view of its load. It lags.
type LoadReport struct {
	// TakenAt is the engine's clock when the figures were taken.
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

// CacheEventKind tells what happened to a block.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event of an incarnation; a jump is a gap.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Blocks   []BlockHash    `json:"blocks,omitempty"`
}

// CacheBatch is a run of cache events of one incarnation.
type CacheBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetVersion  OrderKind = "setVersion"
	OrderSetRole     OrderKind = "setRole"
)

// Order is an instruction to an engine.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Subject is the model, adapter, version or role.
	Subject string `json:"subject"`
	// Fence is the shard's lease epoch; it never falls.
	Fence uint64 `json:"fence"`
}

// Endpoint is one back end: a model engine or a plain service. Errors of Generate, Resume and Call wrap ErrNotRun
// only with proof that the request did not begin.
type Endpoint interface {
	// Generate runs a completion and hands its chunks to sink in order. onStart is called before the first byte
	// that the endpoint may read is written. An error of sink cancels the stream.
	Generate(ctx context.Context, r GenerateRequest, onStart func(), sink func(Chunk) error) (GenerateResult, error)
	// Resume continues a paused or broken stream from a token offset on the same engine.
	Resume(ctx context.Context, token AttemptToken, offset int, sink func(Chunk) error) (GenerateResult, error)
	// Pause stops a stream at a token boundary and keeps its state.
	Pause(ctx context.Context, token AttemptToken) error
	// Cancel ends a stream and drops its state.
	Cancel(ctx context.Context, token AttemptToken) error
	// ExportKV returns the state of a paused stream.
	ExportKV(ctx context.Context, token AttemptToken) ([]byte, error)
	// ImportKV installs the state of a stream that another engine exported, under a token of its own.
	ImportKV(ctx context.Context, token AttemptToken, state []byte) error
	// Call runs one call of a plain service.
	Call(ctx context.Context, c ServiceCall, onStart func()) (ServiceAnswer, error)
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after a sequence number, possibly late and with gaps.
	CacheEvents(ctx context.Context, after uint64) (CacheBatch, error)
	// SendOrder gives an order; ErrStaleFence reports a fencing number that is too old.
	SendOrder(ctx context.Context, o Order) error
}

// EndpointDialer makes endpoint clients.
type EndpointDialer interface {
	// Endpoint returns the client for an address; clients of one address share connections.
	Endpoint(address string) Endpoint
}
