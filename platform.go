package wigeonshift

import (
	"context"
	"time"
)

// Row is a row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with every write of the row and is never 0 for an existing row.
	Revision uint64 `json:"revision"`
}

// Condition is a precondition of a transaction.
type Condition struct {
	Key string `json:"key"`
	// Revision is the revision that the row must have; 0 means that the row must not exist.
	Revision uint64 `json:"revision"`
}

// Write is a row change in a transaction.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete deletes the row; Value is then ignored.
	Delete bool `json:"delete,omitempty"`
}

// Transaction is a set of writes that are applied atomically if all conditions are met.
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
	// ErrConditionFailed, ErrUnavailable or ErrThrottled if the transaction had no effect, and otherwise
	// ErrOutcomeUnknown.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
}

// ObjectStore is the platform's object store. An object is written once and as a whole.
type ObjectStore interface {
	// PutObject stores an object under a key.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// ListObjects returns up to limit keys with a prefix that sort after the key after, in key order.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// DeleteObject deletes an object. Deleting a missing object is not an error.
	DeleteObject(ctx context.Context, key string) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a wigeonshift process that serves callers and dispatches to endpoints.
type Instance struct {
	// ID is unique for each start of a process; a restarted process has a new ID.
	ID string `json:"id"`
	// Address is the IP number and port at which peers reach the instance.
	Address string `json:"address"`
	// CallerAddress is the IP number and port at which the instance serves callers; empty if unknown.
	CallerAddress string        `json:"callerAddress,omitempty"`
	Zone          string        `json:"zone"`
	Region        string        `json:"region"`
	State         InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances. It may be outdated: it may contain terminated instances and miss
// new ones.
type InstanceList interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve requests a slot to load a model. A zero wait means that the slot is granted; otherwise the caller must
	// ask again after wait.
	Reserve(ctx context.Context, model string) (wait time.Duration, err error)
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	ObjectStore
	InstanceList
	WeightStore
}
