package wigeonshift

import "time"

// InstanceStatus is the status that an instance reports to operators.
type InstanceStatus struct {
	Instance Instance `json:"instance"`
	Ready    bool     `json:"ready"`
	Draining bool     `json:"draining"`
	// ConfigurationVersion is the active version; 0 before the first one.
	ConfigurationVersion uint64 `json:"configurationVersion"`
	// ConfigurationConfirmed reports whether the platform or a peer has recently confirmed the active version as the
	// newest.
	ConfigurationConfirmed bool `json:"configurationConfirmed"`
	// Requests is the number of caller requests in flight.
	Requests int           `json:"requests"`
	Shards   []ShardStatus `json:"shards,omitempty"`
}

// ShardStatus is the status that a shard owner reports to operators.
type ShardStatus struct {
	Shard ShardID `json:"shard"`
	Epoch uint64  `json:"epoch"`
	// LeaseHeld is false for an owner that continues to grant permits after its lease expired.
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
	// Capacity is the current limit of dispatches in flight.
	Capacity int `json:"capacity"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are measured speeds. The decode speed is that of one stream.
	PrefillTokensPerSecond float64  `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64  `json:"decodeTokensPerSecond"`
	Models                 []string `json:"models,omitempty"`
}

// InstanceVersion is the configuration version of an instance, as known to another instance.
type InstanceVersion struct {
	Instance Instance `json:"instance"`
	Version  uint64   `json:"version"`
	// Lag is the time since the instance was first known to have an outdated version; 0 if its version is current.
	Lag time.Duration `json:"lag"`
}
