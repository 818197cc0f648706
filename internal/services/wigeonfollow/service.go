package wigeonfollow

import (
	"context"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Sinks receive the content of the tables. Calls for the same table never overlap.
type Sinks struct {
	// Configuration receives a newer version and the row that it was decoded from.
	Configuration func(c *wigeonshift.RoutingConfiguration, document []byte)
	// Endpoints receives all known endpoints, and the revision up to which all changes are in them; zero if another instance has
	// sent them.
	Endpoints func(records []wigeonshift.EndpointRecord, revision uint64)
	// Instances receives all known instances.
	Instances func(instances []wigeonshift.Instance)
	// Quarantine receives the rows of the quarantine table.
	Quarantine RowSink
	// Rollouts receives all rollout orders. mayBeOld is set if orders that weren't known may have been given some time ago; nil
	// if nobody needs them.
	Rollouts func(orders []wigeonshift.RolloutOrder, mayBeOld bool)
	// Missed is called if changes were found that a connection to the store has withheld; nil if nobody needs to know.
	Missed func()
	// StoreRestored is called when the store has returned from an older copy; nil if nobody needs to know.
	StoreRestored func()
}

// RowSink receives the rows of a table as they are.
type RowSink interface {
	// HandleStoreRestored is called before ReplaceRows if the store has returned from an older copy.
	HandleStoreRestored()
	// ReplaceRows replaces all rows.
	ReplaceRows(rows []wigeonshift.TableRow)
	// ApplyChanges applies changed and deleted rows.
	ApplyChanges(rows []wigeonshift.TableRow)
}

// rowTable passes the rows of a table to a sink.
type rowTable struct{ sink RowSink }

func (t rowTable) replaceRows(page wigeonshift.TablePage)  { t.sink.ReplaceRows(page.Rows) }
func (t rowTable) applyChanges(page wigeonshift.TablePage) { t.sink.ApplyChanges(page.Rows) }
func (t rowTable) handleStoreFailure()                     {}
func (t rowTable) handleStoreRecovery(time.Duration)       {}
func (t rowTable) handleStoreRestored()                    { t.sink.HandleStoreRestored() }

// Service watches all tables.
type Service struct {
	configuration *configurationTable
	endpoints     *endpointTable
	instances     *instanceTable
	followers     []*follower
	// configurationFollower, endpointsFollower and quarantineFollower are also in followers.
	configurationFollower, endpointsFollower, quarantineFollower *follower
	schedule                                                     *schedule
	log                                                          logrus.FieldLogger

	scope  tally.Scope
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// Option configures a Service.
type Option func(*Service)

// WithInstance sets the ID of this instance, by which it finds its turn among the listed ones.
func WithInstance(id string) Option { return func(s *Service) { s.schedule.self = id } }

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option { return func(s *Service) { s.scope = scope } }

// New returns a service that is ready to Start. Each table has its own follower; the first failure of any of them makes
// all poll again (onFailure).
func New(
	store wigeonshift.RoutingStore, codec wigeonshift.RoutingCodec, sinks Sinks, log logrus.FieldLogger, opts ...Option,
) *Service {
	s := &Service{
		schedule: &schedule{rank: -1},
		log:      log,
		scope:    tally.NoopScope,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.configuration = &configurationTable{codec: codec, sink: sinks.Configuration, log: log, rollouts: &rolloutTable{
		codec: codec, sink: sinks.Rollouts, log: log, refused: newRefusedRows("rollouts", log, s.scope),
		orders: map[string]wigeonshift.RolloutOrder{},
	}}
	s.endpoints = newEndpointTable(codec, sinks.Endpoints, log, newRefusedRows("endpoints", log, s.scope))
	s.instances = &instanceTable{
		sink: func(instances []wigeonshift.Instance) {
			s.schedule.setInstances(instances)
			sinks.Instances(instances)
		},
		onRestored: sinks.StoreRestored, log: log, refused: newRefusedRows("instances", log, s.scope),
		instances: map[string]wigeonshift.Instance{},
	}
	s.configurationFollower = &follower{
		table: wigeonshift.TableConfiguration, handler: s.configuration, nextWait: s.schedule.turnWait,
		batchDelay: s.configurationBatchDelay,
	}
	s.endpointsFollower = &follower{
		table: wigeonshift.TableEndpoints, handler: s.endpoints, nextWait: s.schedule.guardedWait,
		batchDelay: s.endpointsBatchDelay,
	}
	s.quarantineFollower = &follower{
		table: wigeonshift.TableQuarantine, handler: rowTable{sinks.Quarantine},
		nextWait:   s.schedule.longWait,
		batchDelay: func() time.Duration { return s.batchDelay(quarantineBatchMaxDelay) },
	}
	s.followers = []*follower{
		s.configurationFollower,
		s.endpointsFollower,
		{
			table: wigeonshift.TableInstances, handler: s.instances,
			nextWait:   s.schedule.longWait,
			batchDelay: func() time.Duration { return instancesBatchDelay }, firstPollDelay: instancesFirstPollDelay,
		},
		s.quarantineFollower,
	}
	shared := newOutage()
	for _, f := range s.followers {
		f.outage = shared
		f.store, f.log, f.schedule, f.scope = store, log, s.schedule, s.scope
		f.onMissed = sinks.Missed
		if f.onMissed == nil {
			f.onMissed = func() {}
		}
		f.answerAge = s.scope.Tagged(map[string]string{"table": f.table.String()}).Gauge("storeAnswerAge")
		f.repollRequests, f.results = make(chan struct{}, 1), make(chan pollResult)
		f.onFailure, f.onRecovery = s.repollAll, s.repollFailing
	}
	return s
}

// Start starts watching the tables. It returns at once.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.schedule.start()
	s.tasks.Go(func() { s.runStart(ctx) })
	for _, f := range s.followers {
		s.tasks.Go(func() { f.run(ctx) })
	}
}

// runStart polls for endpoints again if too few peers are heard shortly after the start.
func (s *Service) runStart(ctx context.Context) {
	wigeonclock.Sleep(ctx, shortPollWait)
	if ctx.Err() == nil && !s.schedule.hearsPeers() {
		s.RepollEndpoints()
	}
}

// SetPeersHeard sets the number of peers that were heard lately. Once too few are left to report what a silent connection to the
// store withholds, it polls all tables again on new connections and reports true.
func (s *Service) SetPeersHeard(n int) bool {
	if !s.schedule.setPeersHeard(n) {
		return false
	}
	s.log.WithField("peersHeard", n).Info("too few peers are heard; polling the store again")
	s.repollAll()
	return true
}

// Repoll cancels all running polls and polls again on new connections. It is called when the present ones may be dead.
func (s *Service) Repoll() { s.repollAll() }

// repollAll makes all followers poll again, because one failed call may mean that the other polls will fail as well.
func (s *Service) repollAll() {
	for _, f := range s.followers {
		f.requestRepoll()
	}
}

// repollFailing makes the followers poll again whose calls fail, because the store has answered one of them. A call that was made
// before may get no answer.
func (s *Service) repollFailing() {
	for _, f := range s.followers {
		if f.failing.Load() {
			f.requestRepoll()
		}
	}
}

// EndpointsRevision returns the highest revision of an endpoint row and the revision up to which all changes are known.
func (s *Service) EndpointsRevision() (newestRow, known uint64) {
	f := s.endpointsFollower
	return f.newestRowRevision.Load(), f.knownRevision.Load()
}

// EndpointsSnapshot returns the endpoint rows. Another instance uses them while it can't reach the store.
func (s *Service) EndpointsSnapshot() wigeonshift.EndpointsSnapshot {
	newestRow, _ := s.EndpointsRevision()
	return wigeonshift.EndpointsSnapshot{Revision: newestRow, Rows: s.endpoints.snapshot()}
}

// HasAllEndpoints reports whether all endpoints that ran when this instance started are known. It stays true once it is.
func (s *Service) HasAllEndpoints() bool { return s.endpoints.hasAll() }

// OfferEndpoints uses the endpoints of another instance unless the store has already listed them, and reports whether
// it used them. It lets an instance that has never reached the store serve requests.
func (s *Service) OfferEndpoints(snapshot wigeonshift.EndpointsSnapshot) bool {
	if !s.endpoints.offer(snapshot.Rows) {
		return false
	}
	s.endpointsFollower.recordRevisions(wigeonshift.TablePage{Revision: snapshot.Revision, Rows: snapshot.Rows})
	return true
}

// ConfigurationRevision returns the revision up to which all changes of the configuration and of rollout orders are known.
func (s *Service) ConfigurationRevision() uint64 { return s.configurationFollower.knownRevision.Load() }

// RepollConfiguration does for the configuration what RepollEndpoints does for endpoints.
func (s *Service) RepollConfiguration() { s.configurationFollower.requestRepoll() }

// BatchesConfiguration reports whether changes of the configuration are being collected. The poll after that brings what a peer
// has in the meantime.
func (s *Service) BatchesConfiguration() bool { return s.configurationFollower.pausing.Load() }

// ReceivesConfiguration reports whether the store's answer for the configuration is arriving.
func (s *Service) ReceivesConfiguration() bool { return s.configurationFollower.polls.isReceiving() }

// ConfigurationFails reports whether the latest call for the configuration has failed.
func (s *Service) ConfigurationFails() bool { return s.configurationFollower.failing.Load() }

// RepollEndpoints polls for endpoints again, beside the running poll. It is called when another instance knows of a
// change that the running poll has not delivered.
func (s *Service) RepollEndpoints() { s.endpointsFollower.requestRepoll() }

// QuarantineRevision returns the highest revision of a quarantine row and the revision up to which all changes are known.
func (s *Service) QuarantineRevision() (newestRow, known uint64) {
	f := s.quarantineFollower
	return f.newestRowRevision.Load(), f.knownRevision.Load()
}

// RepollQuarantine does for the quarantine what RepollEndpoints does for endpoints.
func (s *Service) RepollQuarantine() { s.quarantineFollower.requestRepoll() }

// Stop stops watching and waits for the followers to end.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
	s.endpoints.stop()
}

// OfferConfiguration applies a configuration row that another instance has sent, if it is newer than the current one.
func (s *Service) OfferConfiguration(document []byte) {
	s.configuration.offer(document)
}
