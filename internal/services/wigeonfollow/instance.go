package wigeonfollow

import (
	"encoding/json"
	"sort"
	"sync"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// instanceTable takes the instances' rows.
type instanceTable struct {
	sink func([]wigeonshift.Instance)
	log  logrus.FieldLogger

	mu    sync.Mutex
	known map[string]wigeonshift.Instance
}

func (t *instanceTable) replace(rows []wigeonshift.TableRow) {
	t.mu.Lock()
	t.known = map[string]wigeonshift.Instance{}
	t.mu.Unlock()
	t.change(rows)
}

func (t *instanceTable) change(rows []wigeonshift.TableRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(t.known, row.Key)
			t.log.WithField("instance", row.Key).Info("instance gone")
			continue
		}
		var i wigeonshift.Instance
		if err := json.Unmarshal(row.Value, &i); err != nil || i.ID == "" || i.Address == "" {
			t.log.WithField("row", row.Key).Warn("instance's row can't be read")
			delete(t.known, row.Key)
			continue
		}
		t.known[row.Key] = i
		t.log.WithFields(logrus.Fields{"instance": i.ID, "address": i.Address, "zone": i.Zone}).Info("instance listed")
	}
	out := make([]wigeonshift.Instance, 0, len(t.known))
	for _, i := range t.known {
		out = append(out, i)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	t.sink(out)
}

// count returns the number of instances.
func (t *instanceTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known)
}

func (t *instanceTable) lost()     {}
func (t *instanceTable) regained() {}
