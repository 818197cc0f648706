package wigeonfollow

import (
	"context"
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Sinks take what the tables say. They are called one at a time for each table.
type Sinks struct {
	// Configuration takes a newer version and the row that it was decoded from.
	Configuration func(c *wigeonshift.RoutingConfiguration, document []byte)
	// Endpoints takes all endpoints that may be known to callers.
	Endpoints func(records []wigeonshift.EndpointRecord)
	// Instances takes the rows of all instances.
	Instances func(instances []wigeonshift.Instance)
}

// Service follows all tables.
type Service struct {
	store         wigeonshift.RoutingStore
	log           logrus.FieldLogger
	configuration *configurationTable
	endpoints     *endpointTable
	instances     *instanceTable
	cancel        context.CancelFunc
	tasks         conc.WaitGroup
}

// New returns a service that is ready to Start.
func New(
	store wigeonshift.RoutingStore, codec wigeonshift.RoutingCodec, sinks Sinks, log logrus.FieldLogger,
) *Service {
	return &Service{
		store:         store,
		log:           log,
		configuration: &configurationTable{codec: codec, sink: sinks.Configuration, log: log},
		endpoints:     newEndpointTable(codec, sinks.Endpoints, log),
		instances:     &instanceTable{sink: sinks.Instances, log: log, known: map[string]wigeonshift.Instance{}},
	}
}

// Start begins to follow the tables.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.follow(ctx, &follower{
		which: wigeonshift.TableConfiguration, name: "configuration", into: s.configuration, wait: followWait,
		settle: func() time.Duration { return 0 },
	})
	s.follow(ctx, &follower{
		which: wigeonshift.TableEndpoints, name: "endpoints", into: s.endpoints, wait: followWait, settle: s.endpointsSettle,
	})
	s.follow(ctx, &follower{
		which: wigeonshift.TableInstances, name: "instances", into: s.instances, wait: instancesWait,
		settle: func() time.Duration { return instancesSettle },
	})
}

// Pauses after a change, in which further changes gather. That of the endpoints grows with the number of instances, since
// all of them ask.
const (
	endpointsSettleBase     = 300 * time.Millisecond
	endpointsSettleInstance = 15 * time.Millisecond
	endpointsSettleMax      = time.Second
	instancesSettle         = time.Second
)

func (s *Service) endpointsSettle() time.Duration {
	return min(endpointsSettleBase+time.Duration(s.instances.count())*endpointsSettleInstance, endpointsSettleMax)
}

func (s *Service) follow(ctx context.Context, f *follower) {
	f.store, f.log = s.store, s.log
	s.tasks.Go(func() { f.run(ctx) })
}

// Stop ends following.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
	s.endpoints.stop()
}

// Offer takes a configuration row that another instance has handed on.
func (s *Service) Offer(document []byte) {
	s.configuration.offer(document)
}

// configurationTable takes the configuration's row.
type configurationTable struct {
	codec wigeonshift.RoutingCodec
	sink  func(*wigeonshift.RoutingConfiguration, []byte)
	log   logrus.FieldLogger

	mu      sync.Mutex
	version uint64
}

func (t *configurationTable) replace(rows []wigeonshift.TableRow) { t.change(rows) }

func (t *configurationTable) change(rows []wigeonshift.TableRow) {
	for _, row := range rows {
		t.take(row, "store")
	}
}

func (t *configurationTable) lost()     {}
func (t *configurationTable) regained() {}

func (t *configurationTable) offer(document []byte) {
	t.take(wigeonshift.TableRow{Key: ConfigurationRow, Value: document}, "peer")
}

// ConfigurationRow is the key under which instances hand the configuration on.
const ConfigurationRow = "config"

// take puts a row's version in force unless it is older than the one in force.
func (t *configurationTable) take(row wigeonshift.TableRow, source string) {
	c, ok, err := t.codec.Configuration(row)
	if !ok {
		return
	}
	if err != nil {
		t.log.WithError(err).WithField("source", source).Error("configuration can't be read")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Version <= t.version {
		return
	}
	t.log.WithFields(logrus.Fields{
		"version": c.Version, "before": t.version, "source": source, "routes": len(c.Routes),
		"organisations": len(c.Organisations),
	}).Info("configuration in force")
	t.version = c.Version
	t.sink(c, row.Value)
}
