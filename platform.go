package wigeonshift

import (
	"context"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision grows with every write of the row and is never 0 for a row that exists.
	Revision uint64 `json:"revision"`
}

// Condition is one precondition of a transaction.
type Condition struct {
	Key string `json:"key"`
	// Revision is the revision the row must have; 0 means that the row must not exist.
	Revision uint64 `json:"revision"`
}

// Write is one change of a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row; Value is then ignored.
	Delete bool `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together if every condition holds.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and sort after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the revisions of its writes in order. Its error wraps
	// ErrConditionFailed, ErrUnavailable, ErrThrottled (all without effect) or ErrOutcomeUnknown.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
}

// ObjectStore is the platform's object store. Objects are written once and whole.
type ObjectStore interface {
	// PutObject stores an object under a key.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// ListObjects returns up to limit keys with a prefix that sort after the key after, in key order.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// DeleteObject removes an object; a missing one is no error.
	DeleteObject(ctx context.Context, key string) error
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// States of an instance in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one process of wigeonshift between callers and endpoints.
type Instance struct {
	// ID is unique for each start of a process; a restarted process has a new one.
	ID string `json:"id"`
	// Address is the IP number and port at which peers reach the instance.
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Region  string        `json:"region"`
	State   InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It lags: it may name dead instances and miss new ones.
type InstanceList interface {
	// Instances returns the list as the platform sees it.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks for a slot to load a model. A positive wait tells when to ask again; zero grants the slot.
	Reserve(ctx context.Context, model string) (wait time.Duration, err error)
}

// Platform is every service of the platform under one roof.
type Platform interface {
	Table
	ObjectStore
	InstanceList
	WeightStore
}
