package wigeonfollow

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// maxRefusedRows is the number of refused rows of a table that are remembered. Further ones are only counted.
const maxRefusedRows = 256

// refusedRows reports the rows of a table that describe nothing usable. Each has one line until it is readable or removed, as its
// writer may write it again and again.
type refusedRows struct {
	table   string
	log     logrus.FieldLogger
	counter tally.Counter

	mu sync.Mutex
	// keys holds at most maxRefusedRows keys.
	keys map[string]bool
}

func newRefusedRows(table string, log logrus.FieldLogger, scope tally.Scope) *refusedRows {
	counter := scope.Tagged(map[string]string{"table": table}).Counter("storeRowsRefused")
	return &refusedRows{table: table, log: log, counter: counter, keys: map[string]bool{}}
}

// refuse counts a refused row, and logs it unless it is known.
func (r *refusedRows) refuse(key string, reason error) {
	r.counter.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys[key] || len(r.keys) >= maxRefusedRows {
		return
	}
	r.keys[key] = true
	r.log.WithError(reason).WithFields(logrus.Fields{"table": r.table, "row": key}).Warn("row refused")
}

// accept forgets a row that is readable or was removed.
func (r *refusedRows) accept(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.keys, key)
}
