package wigeonshift

import "time"

// Configuration is everything operators decide, under one version number.
type Configuration struct {
	// Version grows by one with each accepted patch and never falls.
	Version  uint64             `json:"version"`
	Products map[string]Product `json:"products,omitempty"`
}

// Product is one business with its own callers, tiers and endpoints.
type Product struct {
	Tiers         map[string]Tier         `json:"tiers,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
}

// Tier is one class of requests of a product.
type Tier struct {
	// Rank is unique within the product; 0 is the highest.
	Rank TierRank `json:"rank"`
	// DefaultDeadlineMS applies to requests that name no deadline.
	DefaultDeadlineMS int64 `json:"defaultDeadlineMs"`
}

// Organisation is one customer of a product.
type Organisation struct {
	// Tiers names the tiers the organisation may use; the first is its default.
	Tiers []string `json:"tiers"`
	// Weight is its share against other organisations of a tier; 0 counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxConcurrent bounds its requests in flight in one shard; 0 means no bound.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// TokensPerSecond bounds its estimated tokens a second in one shard; 0 means no bound.
	TokensPerSecond float64           `json:"tokensPerSecond,omitempty"`
	APIKeys         map[string]APIKey `json:"apiKeys,omitempty"`
}

// APIKey is a caller credential. The secret itself is never stored.
type APIKey struct {
	// Salt and Hash are hexadecimal; Hash is the SHA-256 of the salt followed by the secret.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
	// NotAfter ends the key's validity; the zero time means never.
	NotAfter time.Time `json:"notAfter,omitzero"`
}

// ServiceKind tells model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is one service of a product.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Models lists the models callers may name; empty for plain services.
	Models []string `json:"models,omitempty"`
	// NonIdempotentMethods lists the HTTP methods of a plain service whose calls run at most once.
	NonIdempotentMethods []string `json:"nonIdempotentMethods,omitempty"`
	// MaxBodyBytes bounds a caller's body; 0 leaves the node's own limit.
	MaxBodyBytes int                     `json:"maxBodyBytes,omitempty"`
	Endpoints    map[string]EndpointSpec `json:"endpoints,omitempty"`
}

// EndpointState is the operators' wish for an endpoint.
type EndpointState string

// States of an endpoint. A leaving one gets nothing new and finishes what runs.
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
	// Generation names the hardware generation; speeds are learned, not read from it.
	Generation string `json:"generation,omitempty"`
	// Models lists the models loaded at first; orders may change them.
	Models []string `json:"models,omitempty"`
	// IgnoresFencing marks an endpoint that takes orders with old fencing numbers.
	IgnoresFencing bool `json:"ignoresFencing,omitempty"`
	// CanPause marks an engine that keeps a paused stream's state.
	CanPause bool `json:"canPause,omitempty"`
	// MaxConcurrent bounds the dispatches in flight; 0 lets the owner learn the bound.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
}

// Change is one accepted patch of the configuration's change log.
type Change struct {
	// Version is the number that the patch made; its base is Version-1.
	Version uint64    `json:"version"`
	PatchID string    `json:"patchId"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	// Patch is a JSON merge patch (RFC 7386) on the configuration's document.
	Patch []byte `json:"patch"`
}

// ConfigurationSource gives the configuration in force on this instance.
type ConfigurationSource interface {
	// Current returns the configuration in force, nil before the first. The value is never modified.
	Current() *Configuration
	// Changed returns a channel that is closed when a newer configuration comes into force.
	Changed() <-chan struct{}
}
