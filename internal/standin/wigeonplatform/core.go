// Package wigeonplatform is a stand-in for the platform's services in development and tests. It has an in-memory core,
// which can also be used directly, and an HTTP server for the core.
package wigeonplatform

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"

	"github.com/google/btree"
	"golang.org/x/time/rate"
)

// Defaults of the core.
const (
	DefaultListLag    = 3 * time.Second
	DefaultWeightSlot = 2 * time.Second
	btreeDegree       = 32
)

// Core keeps all rows, objects, instances and weight slots in memory. It implements wigeonshift.Platform.
type Core struct {
	mu      sync.Mutex
	rows    *btree.BTreeG[wigeonshift.Row]
	objects *btree.BTreeG[object]
	// revision is the revision of the newest write. It only increases, even when rows are deleted.
	revision     uint64
	instances    instanceLog
	faults       Faults
	random       *rand.Rand
	weightSlots  *rate.Limiter
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	listLag      time.Duration

	readCount  atomic.Int64
	writeCount atomic.Int64
}

// object is a stored value with its key.
type object struct {
	key   string
	value []byte
}

// Option configures a new core.
type Option func(*Core)

// WithListLag sets the delay after which the instance list shows a change.
func WithListLag(d time.Duration) Option {
	return func(c *Core) { c.listLag = d }
}

// WithWeightSlot sets the interval at which the weight store grants slots.
func WithWeightSlot(d time.Duration) Option {
	return func(c *Core) { c.weightSlots = rate.NewLimiter(rate.Every(d), 1) }
}

// WithSeed seeds the random choice of writes whose response is lost.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithInstances lists instances from the start, without the list lag.
func WithInstances(instances ...wigeonshift.Instance) Option {
	return func(c *Core) {
		for _, i := range instances {
			c.instances.addVisible(i)
		}
	}
}

// NewCore returns an empty core without faults.
func NewCore(opts ...Option) *Core {
	c := &Core{
		rows:         btree.NewG(btreeDegree, func(a, b wigeonshift.Row) bool { return a.Key < b.Key }),
		objects:      btree.NewG(btreeDegree, func(a, b object) bool { return a.key < b.key }),
		instances:    newInstanceLog(),
		random:       rand.New(rand.NewPCG(1, 1)),
		weightSlots:  rate.NewLimiter(rate.Every(DefaultWeightSlot), 1),
		readLimiter:  rate.NewLimiter(rate.Inf, 0),
		writeLimiter: rate.NewLimiter(rate.Inf, 0),
		listLag:      DefaultListLag,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Counts is the number of calls to a core since its creation, including refused calls.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Counts returns the number of calls so far.
func (c *Core) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load()}
}
