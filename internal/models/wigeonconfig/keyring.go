package wigeonconfig

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// ErrUnknownKey reports an API key that does not exist, has a wrong secret or has expired.
var ErrUnknownKey = errors.New("unknown API key")

// Keyring authenticates callers against the current configuration.
type Keyring struct {
	source  wigeonshift.ConfigurationSource
	mu      sync.Mutex
	current atomic.Pointer[KeyIndex]
}

// NewKeyring returns a keyring that reads the configuration from a source.
func NewKeyring(source wigeonshift.ConfigurationSource) *Keyring {
	return &Keyring{source: source}
}

// Authenticate returns the owner of an API key and the configuration that contains the key. Errors wrap ErrUnknownKey
// or ErrNoConfiguration.
func (k *Keyring) Authenticate(presented string) (Caller, *wigeonshift.Configuration, error) {
	x := k.index()
	if x == nil {
		return Caller{}, nil, oops.In("configuration").Wrap(wigeonshift.ErrNoConfiguration)
	}
	caller, err := x.Authenticate(presented, time.Now())
	return caller, x.configuration, err
}

// index returns the key index of the current configuration. The first request after a change builds the new index;
// concurrent requests use the previous index until it is ready.
func (k *Keyring) index() *KeyIndex {
	c := k.source.Current()
	x := k.current.Load()
	switch {
	case c == nil:
		return nil
	case x != nil && x.configuration == c:
		return x
	case x == nil:
		k.mu.Lock()
	case !k.mu.TryLock():
		return x
	}
	defer k.mu.Unlock()
	c = k.source.Current()
	if x := k.current.Load(); x != nil && x.configuration == c {
		return x
	}
	if x := k.current.Load(); x != nil {
		next := x.Update(c)
		k.current.Store(next)
		return next
	}
	first := NewKeyIndex(c)
	k.current.Store(first)
	return first
}
