package wigeonrelay

import (
	"context"
	"maps"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonroute"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// Service accepts the requests of callers and relays them to endpoints.
type Service struct {
	limits         wigeonshift.ConnectionLimits
	dialect        wigeonshift.WireDialect
	dispatcher     *Dispatcher
	pool           *wigeonupstream.Pool
	log            logrus.FieldLogger
	scope          tally.Scope
	table          atomic.Pointer[wigeonroute.Table]
	newestReport   atomic.Pointer[reportedVersion]
	draining       atomic.Bool
	refusing       atomic.Bool
	callerTimeouts callerTimeouts
	bodyMemory     bodyMemory
	server         *fasthttp.Server
	listener       net.Listener
	tasks          conc.WaitGroup
}

// Option changes a service under construction.
type Option func(*Service)

// WithBodyMemory bounds the memory for the response bodies of all requests together, in bytes.
func WithBodyMemory(bytes int) Option {
	return func(s *Service) { s.bodyMemory.left.Store(int64(bytes)) }
}

// New returns a service that is ready to Start.
func New(
	limits wigeonshift.ConnectionLimits, dialect wigeonshift.WireDialect, dispatcher *Dispatcher, pool *wigeonupstream.Pool,
	log logrus.FieldLogger, scope tally.Scope, opts ...Option,
) *Service {
	s := &Service{
		limits:     limits,
		dialect:    dialect,
		dispatcher: dispatcher,
		pool:       pool,
		log:        log,
		scope:      scope,
	}
	s.bodyMemory.left.Store(defaultBodyMemory)
	for _, opt := range opts {
		opt(s)
	}
	dispatcher.startCheck = s.startCheck
	dispatcher.startProbe = s.startProbe
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		ReadBufferSize:               limits.MaxHeaderBytes,
		MaxRequestBodySize:           limits.MaxBodyBytes,
		Concurrency:                  limits.MaxConnections,
		ReadTimeout:                  limits.ReadTimeout,
		IdleTimeout:                  limits.IdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		// Most connections are idle, and each would hold a buffer as large as the longest header.
		ReduceMemoryUsage: true,
		Logger:            s.log,
	}
	return s
}

// SetTable replaces the routing table.
func (s *Service) SetTable(t *wigeonroute.Table) { s.table.Store(t) }

// Table returns the current routing table, nil if there is none yet.
func (s *Service) Table() *wigeonroute.Table { return s.table.Load() }

// Start serves requests from a listener until Stop. It returns at once.
func (s *Service) Start(l net.Listener) {
	s.listener = &listener{Listener: l, writeTimeout: s.limits.WriteTimeout}
	s.tasks.Go(s.run)
}

func (s *Service) run() {
	if err := s.server.Serve(s.listener); err != nil {
		s.log.WithError(err).Error("caller server failed")
	}
}

// Drain makes every response close its connection, so that callers reconnect to other instances.
func (s *Service) Drain() { s.draining.Store(true) }

// RejectNew rejects every new request, so that callers retry at other instances.
func (s *Service) RejectNew() { s.refusing.Store(true) }

// Stop closes the listener and waits until all responses are complete or ctx is done.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		return oops.In("relay").Wrapf(err, "stop")
	}
	s.tasks.Wait()
	return nil
}

// handle routes and authenticates one request and serves it. It rejects the request at once if the instance stops, has
// no configuration yet, knows no such route, or does not know the API key that the route needs.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	passedOn := takePassedOn(&ctx.Request.Header)
	h := s.dialect.ReadRequest(&ctx.Request.Header)
	table := s.table.Load()
	if s.refusing.Load() {
		s.rejectUnrouted(ctx, h, fasthttp.StatusServiceUnavailable, "stopping", stoppingRetryAfter)
		return
	}
	if table == nil {
		s.rejectUnrouted(ctx, h, fasthttp.StatusServiceUnavailable, "noConfiguration", noConfigurationRetryAfter)
		return
	}
	path, _, _ := strings.Cut(string(ctx.Request.Header.RequestURI()), "?")
	route := table.Route(string(ctx.Request.Header.Host()), path)
	if route == nil {
		s.rejectUnknown(ctx, h, table, fasthttp.StatusNotFound, "noRoute")
		return
	}
	var organisation *wigeonshift.RoutedOrganisation
	if table.NeedsKey(route) {
		organisation = table.Organisation(h.Key)
		if organisation == nil {
			s.rejectUnknown(ctx, h, table, fasthttp.StatusUnauthorized, "unknownKey")
			return
		}
	}
	c := s.newCall(ctx, h, table, route, organisation)
	c.passedOn, c.job.PassedOn = passedOn, passedOn
	c.run()
}

// stoppingRetryAfter is the Retry-After of an instance that stops. It is short because other instances accept the
// request at once.
const stoppingRetryAfter = 50 * time.Millisecond

// noConfigurationRetryAfter is the Retry-After while the instance has no configuration.
const noConfigurationRetryAfter = 300 * time.Millisecond

// rejectUnknown rejects a request whose route or API key isn't in a table. Callers don't repeat a request after that, so while another
// instance has a newer table they are told to come back instead.
func (s *Service) rejectUnknown(
	ctx *fasthttp.RequestCtx, h wigeonshift.RequestHeader, t *wigeonroute.Table, status int, reason string,
) {
	if s.isOutdated(t) {
		s.rejectUnrouted(ctx, h, fasthttp.StatusServiceUnavailable, "outdatedConfiguration", outdatedRetryAfter)
		return
	}
	s.rejectUnrouted(ctx, h, status, reason, 0)
}

// rejectUnrouted rejects a request before it is routed: the instance can't take it, or its route or API key is unknown.
func (s *Service) rejectUnrouted(
	ctx *fasthttp.RequestCtx, h wigeonshift.RequestHeader, status int, reason string, retryAfter time.Duration,
) {
	s.setRefusal(ctx, h.RequestID, status, retryAfter)
	var version uint64
	var age time.Duration
	if t := s.table.Load(); t != nil {
		version, age = t.Configuration.Version, time.Since(t.BuiltAt)
	}
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	s.log.WithFields(logrus.Fields{
		"request": h.RequestID, "status": status, "reason": reason, "version": version, "versionAgeMs": age.Milliseconds(),
	}).Info("request rejected")
}

// setRefusal sets an error response that comes from the relay itself. A zero retryAfter omits the advice to retry.
// While the relay drains, the connection is closed so that the caller reconnects to another instance.
func (s *Service) setRefusal(ctx *fasthttp.RequestCtx, requestID string, status int, retryAfter time.Duration) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	s.dialect.WriteRefusal(&ctx.Response.Header, requestID, retryAfter)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// refuse responds to a request that did not run, so that the caller may retry it after RetryAfter. The status is 429 if
// the organisation's quota is used up, and 503 otherwise.
func (c *call) refuse(d wigeondispatch.Refuse) {
	status := fasthttp.StatusServiceUnavailable
	if d.Reason == wigeondispatch.ReasonQuota {
		status = fasthttp.StatusTooManyRequests
	}
	c.service.setRefusal(c.httpCtx, c.header.RequestID, status, d.RetryAfter)
	if c.passedOn && c.service.dispatcher.isCutOff() {
		c.httpCtx.Response.Header.Set(headerCutOff, "1")
	}
	c.service.scope.Tagged(map[string]string{"reason": string(d.Reason)}).Counter("refusals").Inc(1)
	fields := logrus.Fields{
		"status": status, "reason": string(d.Reason), "retryAfterMs": d.RetryAfter.Milliseconds(), "waiting": d.Waiting,
		"freeSlots": d.FreeSlots, "organisation": c.job.Organisation, "units": c.job.Units, "quotaLeft": d.QuotaLeft,
		"quotaShare": d.QuotaShare, "quotaGroupLeft": d.QuotaGroupLeft, "quotaGroupPart": d.QuotaGroupFairShare,
		"quotaRoundLeft": d.QuotaRoundLeft, "quotaRoundAgeMs": d.QuotaRoundAge.Milliseconds(),
		"quotaWindowUsed": d.QuotaWindowUsed,
	}
	if d.Limited > 0 {
		fields["limitedEndpoints"], fields["limitHolds"] = d.Limited, d.LimitHolds
	}
	if d.Reason == wigeondispatch.ReasonQuarantined {
		fields["crashed"] = crashedEndpoints(d.Crashes)
	}
	if d.Cause != nil {
		maps.Copy(fields, causeFields(d.Cause))
	}
	c.finish("refused", fields)
}

// crashedEndpoints returns the endpoints of crashes.
func crashedEndpoints(crashes []wigeonshift.Crash) []string {
	var endpoints []string
	for _, c := range crashes {
		endpoints = append(endpoints, c.Endpoint)
	}
	return endpoints
}

// fail responds to a request that ran or may have run, without Retry-After, which is only for requests that did not
// run. The status is 504 if the deadline has passed, and 502 otherwise.
func (c *call) fail(reason wigeondispatch.Reason) {
	status := fasthttp.StatusBadGateway
	if c.ctx.Err() != nil {
		status = fasthttp.StatusGatewayTimeout
	}
	c.service.setRefusal(c.httpCtx, c.header.RequestID, status, 0)
	c.service.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("failures").Inc(1)
	c.finish("failed", logrus.Fields{"status": status, "reason": string(reason)})
}

// countRequest counts a finished request and records its first-byte latency, unless no byte of a response arrived.
func (s *Service) countRequest(c *call, outcome string) {
	tagged := s.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	if c.firstByteLatency > 0 {
		tagged.Histogram("firstSeconds", latencyBuckets).RecordDuration(c.firstByteLatency)
	}
}

// latencyBuckets are the buckets of the first-byte latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)
