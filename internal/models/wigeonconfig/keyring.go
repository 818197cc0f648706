package wigeonconfig

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// ErrUnknownKey reports an API key that doesn't exist, has another secret or has expired.
var ErrUnknownKey = errors.New("unknown API key")

// Keyring authenticates callers against the configuration in force.
type Keyring struct {
	source  wigeonshift.ConfigurationSource
	mu      sync.Mutex
	current atomic.Pointer[KeyIndex]
}

// NewKeyring returns a keyring over a source.
func NewKeyring(source wigeonshift.ConfigurationSource) *Keyring {
	return &Keyring{source: source}
}

// Authenticate returns the caller of a presented key and the configuration it was found in. Errors wrap
// ErrUnknownKey or ErrNoConfiguration.
func (k *Keyring) Authenticate(presented string) (Caller, *wigeonshift.Configuration, error) {
	v := k.index()
	if v == nil {
		return Caller{}, nil, oops.In("configuration").Wrap(wigeonshift.ErrNoConfiguration)
	}
	caller, err := v.Authenticate(presented, time.Now())
	return caller, v.configuration, err
}

// index returns the index of the configuration in force. The first request after a change builds it; requests beside
// it go on with the index before.
func (k *Keyring) index() *KeyIndex {
	c := k.source.Current()
	v := k.current.Load()
	switch {
	case c == nil:
		return nil
	case v != nil && v.configuration == c:
		return v
	case v == nil:
		k.mu.Lock()
	case !k.mu.TryLock():
		return v
	}
	defer k.mu.Unlock()
	c = k.source.Current()
	if v := k.current.Load(); v != nil && v.configuration == c {
		return v
	}
	if v := k.current.Load(); v != nil {
		next := v.Update(c)
		k.current.Store(next)
		return next
	}
	first := NewKeyIndex(c)
	k.current.Store(first)
	return first
}
