package wigeonfollow

import (
	"maps"
	"slices"
	"strings"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// rolloutTable keeps the rollout orders, whose rows are in the table of the configuration.
type rolloutTable struct {
	codec wigeonshift.RoutingCodec
	// sink receives all orders after each change; nil if nobody needs them.
	sink    func(orders []wigeonshift.RolloutOrder, mayBeOld bool)
	log     logrus.FieldLogger
	refused *refusedRows
	// orders holds the orders by service.
	orders map[string]wigeonshift.RolloutOrder
}

// replaceRows replaces all orders. Nobody knows when orders in a listing were given.
func (t *rolloutTable) replaceRows(rows []wigeonshift.TableRow) {
	before := t.orders
	t.orders = map[string]wigeonshift.RolloutOrder{}
	for _, row := range rows {
		t.put(row)
	}
	if !maps.Equal(before, t.orders) {
		t.publish(true)
	}
}

// applyChanges applies changed and deleted rows.
func (t *rolloutTable) applyChanges(rows []wigeonshift.TableRow) {
	changed := false
	for _, row := range rows {
		changed = t.put(row) || changed
	}
	if changed {
		t.publish(false)
	}
}

// put applies one row and reports whether it changed an order. A row that can't be decoded ends the order, as it asks for nothing.
func (t *rolloutTable) put(row wigeonshift.TableRow) (changed bool) {
	order, ok, err := t.codec.RolloutOrder(row)
	if !ok {
		return false
	}
	known, exists := t.orders[order.Service]
	if err != nil {
		t.refused.refuse(row.Key, err)
	} else {
		t.refused.accept(row.Key)
	}
	if err != nil || order.Target == "" {
		delete(t.orders, order.Service)
		return exists
	}
	t.orders[order.Service] = order
	if known == order {
		return false
	}
	t.log.WithFields(logrus.Fields{
		"service": order.Service, "target": order.Target, "durationMs": order.Duration.Milliseconds(), "revision": order.Revision,
		"before": known.Target,
	}).Info("rollout ordered")
	return true
}

func (t *rolloutTable) publish(mayBeOld bool) {
	if t.sink == nil {
		return
	}
	orders := slices.SortedFunc(maps.Values(t.orders), func(a, b wigeonshift.RolloutOrder) int {
		return strings.Compare(a.Service, b.Service)
	})
	t.sink(orders, mayBeOld)
}
