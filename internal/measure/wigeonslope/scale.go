package wigeonslope

import "time"

// Scale holds the sizes at which the series are measured.
type Scale struct {
	// Endpoints, Organisations and Queued size the reducer's measurements.
	Endpoints     []int
	Organisations []int
	Queued        []int
	// Peers are the peers of each node of a full mesh.
	Peers []int
	// Permits are the numbers of permits exchanged.
	Permits []int
	// Nodes, Shards and Polled size the idle fleets.
	Nodes  []int
	Shards []int
	Polled []int
	// Running are the attempts in flight at a takeover.
	Running []int
	// TreeNodes are the fleet sizes of the tree rule.
	TreeNodes []int
	// FleetEndpoints are the endpoints of whole fleets.
	FleetEndpoints []int
	// Requests is the number of requests over which the reducer's time is averaged.
	Requests int
	// Repeats is the number of runs whose median is taken where a single run is too noisy.
	Repeats int
	// Settle is the time from the start of a fleet to the measurement, Window the time of the measurement.
	Settle time.Duration
	Window time.Duration
}

// DefaultScale returns the sizes behind docs/CAPACITY.md.
func DefaultScale() Scale {
	return Scale{
		Endpoints:      []int{16, 64, 512},
		Organisations:  []int{1, 1000, 10_000, 48_000},
		Queued:         []int{1000, 4000, 16_000},
		Peers:          []int{3, 7, 15, 23},
		Permits:        []int{1000, 4000, 16_000},
		Nodes:          []int{2, 4, 8, 16},
		Shards:         []int{4, 16, 48},
		Polled:         []int{4, 16, 64},
		Running:        []int{0, 200, 1000},
		TreeNodes:      []int{9, 100, 500, 1500},
		FleetEndpoints: []int{500, 2000, 7900},
		Requests:       40_000,
		Repeats:        3,
		Settle:         4 * time.Second,
		Window:         12 * time.Second,
	}
}
