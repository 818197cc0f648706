package wigeonfollow

import (
	"encoding/json"
	"sort"
	"sync"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// instanceTable keeps the instances from their rows.
type instanceTable struct {
	sink func([]wigeonshift.Instance)
	log  logrus.FieldLogger

	mu        sync.Mutex
	instances map[string]wigeonshift.Instance
}

func (t *instanceTable) replaceRows(rows []wigeonshift.TableRow) {
	t.mu.Lock()
	t.instances = map[string]wigeonshift.Instance{}
	t.mu.Unlock()
	t.applyChanges(rows)
}

func (t *instanceTable) applyChanges(rows []wigeonshift.TableRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(t.instances, row.Key)
			t.log.WithField("instance", row.Key).Info("instance removed")
			continue
		}
		var i wigeonshift.Instance
		if err := json.Unmarshal(row.Value, &i); err != nil || i.ID == "" || i.Address == "" {
			t.log.WithField("row", row.Key).Warn("failed to decode an instance row")
			delete(t.instances, row.Key)
			continue
		}
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

func (t *instanceTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.instances)
}

func (t *instanceTable) handleStoreFailure()  {}
func (t *instanceTable) handleStoreRecovery() {}
