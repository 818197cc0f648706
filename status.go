package wigeonshift

import "time"

// InstanceStatus is what one instance tells operators about itself.
type InstanceStatus struct {
	Instance Instance `json:"instance"`
	Ready    bool     `json:"ready"`
	Draining bool     `json:"draining"`
	// ConfigurationVersion is the version in force; 0 before the first.
	ConfigurationVersion uint64 `json:"configurationVersion"`
	// ConfigurationConfirmed tells whether platform or peers confirmed the version lately.
	ConfigurationConfirmed bool `json:"configurationConfirmed"`
	// Requests is the number of caller requests in flight.
	Requests int           `json:"requests"`
	Shards   []ShardStatus `json:"shards,omitempty"`
}

// ShardStatus is what an owner tells operators about one shard.
type ShardStatus struct {
	Shard ShardID `json:"shard"`
	Epoch uint64  `json:"epoch"`
	// LeaseHeld is false for an owner that goes on granting after its lease lapsed.
	LeaseHeld bool             `json:"leaseHeld"`
	Tiers     []TierStatus     `json:"tiers,omitempty"`
	Endpoints []EndpointStatus `json:"endpoints,omitempty"`
}

// TierStatus counts the requests of one tier in a shard.
type TierStatus struct {
	Rank    TierRank `json:"rank"`
	Queued  int      `json:"queued"`
	Running int      `json:"running"`
	Paused  int      `json:"paused"`
}

// EndpointStatus is an owner's view of one endpoint.
type EndpointStatus struct {
	Name    string        `json:"name"`
	Address string        `json:"address"`
	State   EndpointState `json:"state"`
	// Health is up, down, straggler or probing.
	Health  string `json:"health"`
	Running int    `json:"running"`
	// Capacity is the learned bound on dispatches in flight.
	Capacity int `json:"capacity"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are observed speeds, the latter for one stream.
	PrefillTokensPerSecond float64  `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64  `json:"decodeTokensPerSecond"`
	Models                 []string `json:"models,omitempty"`
}

// InstanceVersion is one instance's configuration version as another instance knows it.
type InstanceVersion struct {
	Instance Instance `json:"instance"`
	Version  uint64   `json:"version"`
	// Lag is the time since the instance was first known to be behind; 0 when it is not.
	Lag time.Duration `json:"lag"`
}
