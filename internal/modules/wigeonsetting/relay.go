package wigeonsetting

import (
	"time"

	"wigeonshift/internal/modules/wigeontoml"
)

// Relay holds the settings of an instance that relays requests as the platform's configuration defines.
type Relay struct {
	Node     RelayNode     `toml:"node"`
	Caller   RelayCaller   `toml:"caller"`
	Peer     RelayPeer     `toml:"peer"`
	Platform RelayPlatform `toml:"platform"`
	Limits   RelayLimits   `toml:"limits"`
	Retry    RelayRetry    `toml:"retry"`
	Hedge    RelayHedge    `toml:"hedge"`
	Quota    RelayQuota    `toml:"quota"`
	Rollout  RelayRollout  `toml:"rollout"`
	Drain    RelayDrain    `toml:"drain"`
	Log      Log           `toml:"log"`
	Metrics  RelayMetrics  `toml:"metrics"`
}

// RelayNode holds the identity and location of the instance.
type RelayNode struct {
	// Name stays the same across restarts.
	Name   string `toml:"name" validate:"required"`
	Zone   string `toml:"zone" validate:"required"`
	Region string `toml:"region" validate:"required"`
}

// RelayCaller holds the addresses for callers and the load balancer.
type RelayCaller struct {
	// Listen is the IP address and port on which the instance accepts callers.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// Ready is the IP address and port at which the load balancer checks whether the instance accepts requests.
	Ready string `toml:"ready" validate:"required,hostname_port"`
}

// RelayPeer holds the addresses for sessions from other instances.
type RelayPeer struct {
	// Listen is the IP address and port on which the instance accepts sessions.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// Advertise is the IP address and port at which other instances reach this one; empty means Listen.
	Advertise string `toml:"advertise" validate:"omitempty,hostname_port"`
}

// RelayPlatform holds the address of the platform's store.
type RelayPlatform struct {
	Address string `toml:"address" validate:"required,hostname_port"`
}

// RelayLimits holds the resources available to the process.
type RelayLimits struct {
	// Cores is the number of CPU cores. The process runs Go code on as many threads at once.
	Cores int `toml:"cores" validate:"min=1,max=1024"`
	// MemoryMegabytes is the memory available to the process.
	MemoryMegabytes int `toml:"memoryMegabytes" validate:"min=32"`
	// Files is the number of file descriptors that the process may open.
	Files int `toml:"files" validate:"min=300"`
}

// RelayRetry limits the retries of all instances together.
type RelayRetry struct {
	// Ratio is the fraction of requests that may be retried.
	Ratio float64 `toml:"ratio" validate:"min=0,max=1"`
	// Slack is the number of retries per window that are allowed in addition.
	Slack float64 `toml:"slack" validate:"min=0"`
	// Window is the period over which retries are counted, at least a second.
	Window wigeontoml.Duration `toml:"window" validate:"min=1000000000"`
}

// RelayHedge limits the hedges of all instances together: second attempts of requests whose first one is slow.
type RelayHedge struct {
	// Share is the largest fraction of requests that may be hedged; zero turns hedges off.
	Share float64 `toml:"share" validate:"min=0,max=1"`
	// Percentile is the fraction of requests that are answered before a hedge is sent.
	Percentile float64 `toml:"percentile" validate:"min=0.5,max=0.999"`
}

// RelayQuota limits how far an organisation's use may exceed its quota.
type RelayQuota struct {
	// Overage is a fraction of the quota, Slack a number of units that is added to it.
	Overage float64 `toml:"overage" validate:"min=0,max=1"`
	Slack   float64 `toml:"slack" validate:"min=0"`
	// Window is the period over which use is limited to the rate for that time plus the burst. Without it, use is limited by
	// a token bucket only.
	Window wigeontoml.Duration `toml:"window" validate:"min=0"`
}

// RelayRollout bounds the damage that a bad version may do while a service's traffic is moved to it.
type RelayRollout struct {
	// ExposeShare is the fraction of the service's requests that a bad version may get, ExposeSlack a number of requests in
	// addition.
	ExposeShare float64 `toml:"exposeShare" validate:"min=0,max=1"`
	ExposeSlack float64 `toml:"exposeSlack" validate:"min=0"`
	// RollbackWithin is the time from a bad version's 50th bad answer after which it gets no request.
	RollbackWithin wigeontoml.Duration `toml:"rollbackWithin" validate:"min=1000000"`
}

// RelayDrain holds the settings of a graceful shutdown.
type RelayDrain struct {
	// Timeout is the time after which a stopping process is killed.
	Timeout wigeontoml.Duration `toml:"timeout" validate:"min=1000000"`
	// Notice is how long the load balancer may still send requests after the instance has reported not ready.
	Notice wigeontoml.Duration `toml:"notice" validate:"min=0"`
}

// RelayMetrics holds the settings of the metrics server.
type RelayMetrics struct {
	// Listen is the IP address and port of the metrics server; empty disables it.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
}

// DefaultRelay returns the defaults for settings that the file doesn't set.
func DefaultRelay() Relay {
	return Relay{
		Limits: RelayLimits{Cores: 1, MemoryMegabytes: 128, Files: 1024},
		Retry:  RelayRetry{Ratio: 0.1, Slack: 20, Window: wigeontoml.Duration{Duration: 10 * time.Second}},
		Hedge:  RelayHedge{Share: 0, Percentile: 0.97},
		Rollout: RelayRollout{
			ExposeShare: 0.1, ExposeSlack: 50, RollbackWithin: wigeontoml.Duration{Duration: 5 * time.Second},
		},
		Drain: RelayDrain{
			Timeout: wigeontoml.Duration{Duration: 8 * time.Second},
			Notice:  wigeontoml.Duration{Duration: 3 * time.Second},
		},
		Log: defaultLog(),
	}
}

// LoadRelay reads and validates a settings file.
func LoadRelay(path string) (Relay, error) { return load(path, DefaultRelay()) }

// ParseRelay parses and validates settings; errors refer to the file by name.
func ParseRelay(name string, text []byte) (Relay, error) { return parse(name, text, DefaultRelay()) }
