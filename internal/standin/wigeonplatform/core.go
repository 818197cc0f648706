// Package wigeonplatform is the stand-in for the platform's services in development and tests: an in-memory core
// that is usable in process, and an HTTP server around it.
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
	treeDegree        = 32
)

// Core keeps all rows, objects, instances and weight slots in memory. It implements wigeonshift.Platform.
type Core struct {
	mu      sync.Mutex
	rows    *btree.BTreeG[wigeonshift.Row]
	objects *btree.BTreeG[object]
	// revision is the revision given to the newest write; it never falls.
	revision  uint64
	instances instanceLog
	faults    Faults
	random    *rand.Rand
	slots     *rate.Limiter
	reads     *rate.Limiter
	writes    *rate.Limiter
	listLag   time.Duration

	readCount  atomic.Int64
	writeCount atomic.Int64
}

type object struct {
	key   string
	value []byte
}

// Option changes a core at construction.
type Option func(*Core)

// WithListLag sets how late the instance list shows a change.
func WithListLag(d time.Duration) Option {
	return func(c *Core) { c.listLag = d }
}

// WithWeightSlot sets the time between two slots of the weight store.
func WithWeightSlot(d time.Duration) Option {
	return func(c *Core) { c.slots = rate.NewLimiter(rate.Every(d), 1) }
}

// WithSeed seeds the choice of calls that a fault strikes.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithInstances puts instances onto the list at once.
func WithInstances(instances ...wigeonshift.Instance) Option {
	return func(c *Core) {
		for _, i := range instances {
			c.instances.seed(i)
		}
	}
}

// NewCore returns an empty core without faults.
func NewCore(opts ...Option) *Core {
	c := &Core{
		rows:      btree.NewG(treeDegree, func(a, b wigeonshift.Row) bool { return a.Key < b.Key }),
		objects:   btree.NewG(treeDegree, func(a, b object) bool { return a.key < b.key }),
		instances: newInstanceLog(),
		random:    rand.New(rand.NewPCG(1, 1)),
		slots:     rate.NewLimiter(rate.Every(DefaultWeightSlot), 1),
		reads:     rate.NewLimiter(rate.Inf, 0),
		writes:    rate.NewLimiter(rate.Inf, 0),
		listLag:   DefaultListLag,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Counts is the number of calls that reached a core since it was made, refused ones included.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Counts returns the calls so far.
func (c *Core) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load()}
}
