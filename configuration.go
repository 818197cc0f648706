package wigeonshift

import "time"

// Configuration holds all settings that operators manage, under one version number.
type Configuration struct {
	// Version increases by one with each accepted patch and never decreases.
	Version  uint64             `json:"version"`
	Products map[string]Product `json:"products,omitempty"`
}

// Product is a business with its own callers, tiers and endpoints.
type Product struct {
	Tiers         map[string]Tier         `json:"tiers,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
}

// Tier is a priority class of a product's requests.
type Tier struct {
	// Rank is unique within the product; 0 is the highest.
	Rank TierRank `json:"rank"`
	// DefaultDeadlineMS applies to requests without a deadline.
	DefaultDeadlineMS int64 `json:"defaultDeadlineMs"`
}

// Organisation is a customer of a product.
type Organisation struct {
	// Tiers lists the tiers that the organisation may use; the first is its default.
	Tiers []string `json:"tiers"`
	// Weight is the organisation's relative share among the organisations of a tier; 0 counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxConcurrent limits the organisation's requests in flight in one shard; 0 means no limit.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// TokensPerSecond limits the organisation's estimated tokens per second in one shard; 0 means no limit.
	TokensPerSecond float64           `json:"tokensPerSecond,omitempty"`
	APIKeys         map[string]APIKey `json:"apiKeys,omitempty"`
}

// APIKey is a caller credential. The secret itself is never stored.
type APIKey struct {
	// Salt and Hash are hexadecimal; Hash is the SHA-256 of the salt followed by the secret.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
	// NotAfter is the time after which the key is invalid; the zero time means that it never expires.
	NotAfter time.Time `json:"notAfter,omitzero"`
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a service of a product.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Models lists the models that callers may request; empty for plain services.
	Models []string `json:"models,omitempty"`
	// NonIdempotentMethods lists the HTTP methods of a plain service whose calls run at most once.
	NonIdempotentMethods []string `json:"nonIdempotentMethods,omitempty"`
	// MaxBodyBytes limits the size of a request body; 0 means that the instance's own limit applies.
	MaxBodyBytes int                     `json:"maxBodyBytes,omitempty"`
	Endpoints    map[string]EndpointSpec `json:"endpoints,omitempty"`
}

// EndpointState is the state that operators set for an endpoint.
type EndpointState string

// States of an endpoint. A leaving endpoint gets no new requests and finishes its running requests.
const (
	EndpointActive  EndpointState = "active"
	EndpointLeaving EndpointState = "leaving"
)

// EndpointSpec describes one endpoint of a service.
type EndpointSpec struct {
	// Address is the IP number and port of the endpoint.
	Address string        `json:"address"`
	Region  string        `json:"region"`
	Zone    string        `json:"zone"`
	State   EndpointState `json:"state"`
	// Generation names the hardware generation. Engine speeds are measured, not derived from it.
	Generation string `json:"generation,omitempty"`
	// Models lists the initially loaded models; orders may change them.
	Models []string `json:"models,omitempty"`
	// IgnoresFencing marks an endpoint that accepts orders with outdated fencing numbers.
	IgnoresFencing bool `json:"ignoresFencing,omitempty"`
	// CanPause marks an engine that keeps the state of a paused stream.
	CanPause bool `json:"canPause,omitempty"`
	// MaxConcurrent limits the dispatches in flight; 0 lets the shard owner determine the limit at run time.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
}

// Change is an accepted patch in the change log of the configuration.
type Change struct {
	// Version is the configuration version that the patch created; the patch is based on Version-1.
	Version uint64    `json:"version"`
	PatchID string    `json:"patchId"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	// Patch is a JSON merge patch (RFC 7386) for the configuration document.
	Patch []byte `json:"patch"`
}

// ConfigurationSource provides the active configuration of this instance.
type ConfigurationSource interface {
	// Current returns the active configuration, or nil before the first one. The value is never modified.
	Current() *Configuration
	// Changed returns a channel that is closed when a newer configuration becomes active.
	Changed() <-chan struct{}
}
