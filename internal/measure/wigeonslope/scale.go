package wigeonslope

import "time"

// Scale holds the sizes at which the series are measured.
type Scale struct {
	// Endpoints, Organisations and QueuedRequests are the sizes for the measurements of the reducer.
	Endpoints      []int
	Organisations  []int
	QueuedRequests []int
	// PeersPerNode are the numbers of peers of each node in a full mesh.
	PeersPerNode []int
	// Permits are the numbers of permits that an entry requests from an owner.
	Permits []int
	// Nodes, Shards and PolledEndpoints are the sizes of idle fleets.
	Nodes           []int
	Shards          []int
	PolledEndpoints []int
	// RunningAttempts are the numbers of attempts in flight at a takeover.
	RunningAttempts []int
	// TreeNodes are the fleet sizes for the push tree and the instance list.
	TreeNodes []int
	// FleetEndpoints are the numbers of endpoints in a whole fleet.
	FleetEndpoints []int
	// Requests is the number of requests over which the reducer's time per event is averaged.
	Requests int
	// Repeats is the number of runs of which the median is used, where a single run is too noisy.
	Repeats int
	// Settle is the time from the start of a fleet to the measurement, Window the duration of the measurement.
	Settle time.Duration
	Window time.Duration
}

// DefaultScale returns the sizes of the measurements in docs/CAPACITY.md.
func DefaultScale() Scale {
	return Scale{
		Endpoints:       []int{16, 64, 512},
		Organisations:   []int{1, 1000, 10_000, 48_000},
		QueuedRequests:  []int{1000, 4000, 16_000},
		PeersPerNode:    []int{3, 7, 15, 23},
		Permits:         []int{1000, 4000, 16_000},
		Nodes:           []int{2, 4, 8, 16},
		Shards:          []int{4, 16, 48},
		PolledEndpoints: []int{4, 16, 64},
		RunningAttempts: []int{0, 200, 1000},
		TreeNodes:       []int{9, 100, 500, 1500},
		FleetEndpoints:  []int{500, 2000, 7900},
		Requests:        40_000,
		Repeats:         3,
		Settle:          4 * time.Second,
		Window:          12 * time.Second,
	}
}
