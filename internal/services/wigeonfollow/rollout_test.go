package wigeonfollow_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonfollow"
	"wigeonshift/platform"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// orderSink records the orders that it receives.
type orderSink struct {
	mu   sync.Mutex
	seen []string
}

func (o *orderSink) set(orders []wigeonshift.RolloutOrder, mayBeOld bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := fmt.Sprint("old=", mayBeOld)
	for _, order := range orders {
		text += fmt.Sprintf(" %s=%s/%v", order.Service, order.Target, order.Duration)
	}
	o.seen = append(o.seen, text)
}

func (o *orderSink) all() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.seen...)
}

// Guards against orders that are missed, taken for new after a start, or announced again at each change of another row.
func TestRolloutOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := logrus.New()
		log.SetOutput(t.Output())
		store, orders := newFakeStore(), &orderSink{}
		store.put(wigeonshift.TableConfiguration, "config", `{"version":1}`)
		store.put(wigeonshift.TableConfiguration, "rollout/a", `{"service":"a","to":"v2","duration_s":12}`)
		f := wigeonfollow.New(store, platform.Codec{}, wigeonfollow.Sinks{
			Configuration: func(*wigeonshift.RoutingConfiguration, []byte) {},
			Endpoints:     func([]wigeonshift.EndpointRecord, uint64) {},
			Instances:     func([]wigeonshift.Instance) {},
			Quarantine:    &crashSink{rows: map[string]bool{}},
			Rollouts:      orders.set,
		}, log)
		f.Start(t.Context())
		defer f.Stop()
		steps := []struct{ key, value string }{
			{"rollout/b", `{"service":"b","to":"v3","duration_s":8}`},
			{"config", `{"version":2}`},
			{"rollout/a", `{"service":"a"`},
			{"rollout/b", ""},
		}
		time.Sleep(5 * time.Second)
		for _, step := range steps {
			store.put(wigeonshift.TableConfiguration, step.key, step.value)
			time.Sleep(5 * time.Second)
		}
		g.Expect(orders.all()).To(Equal([]string{
			"old=true a=v2/12s", "old=false a=v2/12s b=v3/8s", "old=false b=v3/8s", "old=false",
		}))
	})
}
