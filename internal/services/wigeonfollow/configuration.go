package wigeonfollow

import (
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// configurationTable applies the row of the configuration.
type configurationTable struct {
	codec wigeonshift.RoutingCodec
	// sink receives each newer configuration and the row value that it was decoded from.
	sink func(*wigeonshift.RoutingConfiguration, []byte)
	log  logrus.FieldLogger
	// rollouts keeps the rollout orders, whose rows are in the same table.
	rollouts *rolloutTable

	mu             sync.Mutex
	currentVersion uint64
}

func (t *configurationTable) replaceRows(page wigeonshift.TablePage) {
	t.applyConfigurations(page.Rows)
	t.rollouts.replaceRows(page.Rows)
}

func (t *configurationTable) applyChanges(page wigeonshift.TablePage) {
	t.applyConfigurations(page.Rows)
	t.rollouts.applyChanges(page.Rows)
}

func (t *configurationTable) applyConfigurations(rows []wigeonshift.TableRow) {
	for _, row := range rows {
		t.apply(row, "store")
	}
}

func (t *configurationTable) handleStoreFailure()               {}
func (t *configurationTable) handleStoreRecovery(time.Duration) {}
func (t *configurationTable) handleStoreRestored()              {}

func (t *configurationTable) offer(document []byte) {
	t.apply(wigeonshift.TableRow{Key: ConfigurationRowKey, Value: document}, "peer")
}

// ConfigurationRowKey is the row key of a configuration that comes from another instance.
const ConfigurationRowKey = "config"

// apply makes the configuration of a row the current one if its version is newer. Older versions are ignored because
// both the store and other instances deliver versions, and an older one may come last. A row that can't be decoded
// leaves the current one in use. source says in the log where the row comes from.
func (t *configurationTable) apply(row wigeonshift.TableRow, source string) {
	c, ok, err := t.codec.Configuration(row)
	if !ok {
		return
	}
	if err != nil {
		t.log.WithError(err).WithField("source", source).Error("failed to decode the configuration")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Version <= t.currentVersion {
		return
	}
	t.log.WithFields(logrus.Fields{
		"version": c.Version, "before": t.currentVersion, "source": source, "routes": len(c.Routes),
		"organisations": len(c.Organisations),
	}).Info("configuration applied")
	t.currentVersion = c.Version
	t.sink(c, row.Value)
}
