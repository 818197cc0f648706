package wigeonfollow

import (
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsocket"

	"github.com/sirupsen/logrus"
)

// instanceTable keeps the wigeonshift instances that the store lists, decoded from their rows.
type instanceTable struct {
	// sink receives all known instances after each change.
	sink func([]wigeonshift.Instance)
	// onRestored is called when the store has returned from an older copy; it may be nil.
	onRestored func()
	log        logrus.FieldLogger
	refused    *refusedRows

	mu        sync.Mutex
	instances map[string]wigeonshift.Instance
}

// maxInstanceText is the longest ID, zone or region of an instance, in bytes.
const maxInstanceText = 200

// errMalformedInstanceRow reports an instance's row that can't be decoded or has values that can't be used.
var errMalformedInstanceRow = errors.New("malformed instance row")

// decodeInstance decodes the value of an instance's row. Its error wraps errMalformedInstanceRow.
func decodeInstance(value []byte) (wigeonshift.Instance, error) {
	var i wigeonshift.Instance
	if err := json.Unmarshal(value, &i); err != nil {
		return wigeonshift.Instance{}, errors.Join(errMalformedInstanceRow, err)
	}
	if i.ID == "" || max(len(i.ID), len(i.Zone), len(i.Region)) > maxInstanceText {
		return wigeonshift.Instance{}, errMalformedInstanceRow
	}
	if _, err := wigeonsocket.ParseAddress(i.Address); err != nil {
		return wigeonshift.Instance{}, errors.Join(errMalformedInstanceRow, err)
	}
	if _, err := wigeonsocket.ParseAddress(i.CallerAddress); err != nil {
		// The instance is a peer, but no request can be passed on to it.
		i.CallerAddress = ""
	}
	return i, nil
}

// replaceRows forgets all instances and adds those of rows, because a new listing of the table shows deleted rows only
// by their absence.
func (t *instanceTable) replaceRows(page wigeonshift.TablePage) {
	t.mu.Lock()
	t.instances = map[string]wigeonshift.Instance{}
	t.mu.Unlock()
	t.applyChanges(page)
}

// applyChanges applies changed and deleted rows and passes all known instances to the sink. An instance whose row can't
// be decoded is removed, because the row gives no usable ID and address. The instances are sorted by ID, so that their
// order doesn't depend on the map.
func (t *instanceTable) applyChanges(page wigeonshift.TablePage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range page.Rows {
		if row.Deleted {
			t.refused.accept(row.Key)
			delete(t.instances, row.Key)
			t.log.WithField("instance", row.Key).Info("instance removed")
			continue
		}
		i, err := decodeInstance(row.Value)
		if err != nil {
			t.refused.refuse(row.Key, err)
			delete(t.instances, row.Key)
			continue
		}
		t.refused.accept(row.Key)
		t.instances[row.Key] = i
		t.log.WithFields(logrus.Fields{"instance": i.ID, "address": i.Address, "zone": i.Zone}).Info("instance added or changed")
	}
	instances := make([]wigeonshift.Instance, 0, len(t.instances))
	for _, i := range t.instances {
		instances = append(instances, i)
	}
	sort.Slice(instances, func(i, k int) bool { return instances[i].ID < instances[k].ID })
	t.sink(instances)
}

func (t *instanceTable) handleStoreFailure()               {}
func (t *instanceTable) handleStoreRecovery(time.Duration) {}
func (t *instanceTable) handleStoreRestored() {
	if t.onRestored != nil {
		t.onRestored()
	}
}
