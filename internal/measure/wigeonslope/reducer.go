package wigeonslope

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
)

// Workload of the reducer's measurements.
const (
	slotsPerEndpoint  = 8
	promptBlocks      = 16
	promptTokens      = promptBlocks * wigeonshift.PrefixBlockTokens
	outputTokens      = 256
	firstTokenLatency = 50 * time.Millisecond
	attemptDuration   = time.Second
	// longDeadline is long enough that no queued request of the measurements expires.
	longDeadline  = 10_000 * time.Hour
	shortDeadline = 15 * time.Second
	// eventsPerRequest counts the request, started, first token and finished.
	eventsPerRequest = 4
)

// shardBench drives the reducer of one shard with a fixed sequence of events and a simulated clock.
type shardBench struct {
	state          *wigeonscheduler.State
	now, wakeAt    time.Time
	organisations  int
	deadline       time.Duration
	requestCount   uint64
	runningPermits []grantedPermit
}

// grantedPermit is a permit with the entry instance that received it.
type grantedPermit struct {
	*wigeonshift.Permit
	entry     string
	grantedAt time.Time
}

// newShardBench returns a bench for an owned shard with endpoints, of a product with a number of organisations.
func newShardBench(endpoints, organisations int, deadline time.Duration) *shardBench {
	b := &shardBench{
		deadline: deadline,
		state:    &wigeonscheduler.State{Shard: wigeonscheduler.NewShard("p/s/r/0", wigeonscheduler.WithMaxQueueSeconds(1e9))},
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), organisations: organisations,
	}
	b.applyEvent(wigeonscheduler.LeaseAcquired{Epoch: 1})
	b.applyEvent(newConfigurationChanged(1, endpoints, organisations))
	return b
}

// newConfigurationChanged returns the event of a configuration with numbers of endpoints and organisations. The weights
// of the organisations differ.
func newConfigurationChanged(version uint64, endpoints, organisations int) wigeonscheduler.ConfigurationChanged {
	product := &wigeonshift.Product{Organisations: map[string]wigeonshift.Organisation{}}
	for i := range organisations {
		product.Organisations[organisationName(i)] = wigeonshift.Organisation{Weight: float64(1 + i%3)}
	}
	specs := map[string]wigeonshift.EndpointSpec{}
	for i := range endpoints {
		specs[fmt.Sprintf("engine%04d", i)] = wigeonshift.EndpointSpec{
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Region: "r", State: wigeonshift.EndpointActive,
			Models: []string{"m"}, CanPause: true, MaxConcurrent: slotsPerEndpoint,
		}
	}
	return wigeonscheduler.ConfigurationChanged{Version: version, Endpoints: specs, Product: product}
}

func organisationName(i int) string {
	return "organisation" + strconv.Itoa(i)
}

// applyEvent applies an event and records the permits that it grants.
func (b *shardBench) applyEvent(body wigeonscheduler.EventBody) {
	for _, effect := range wigeonscheduler.Reduce(b.state, wigeonscheduler.Event{At: b.now, Random: b.requestCount, Body: body}) {
		switch e := effect.(type) {
		case wigeonscheduler.AnswerPermit:
			if e.Answer.Grant != nil {
				b.runningPermits = append(b.runningPermits, grantedPermit{e.Answer.Grant, e.Entry, b.now})
			}
		case wigeonscheduler.WakeAt:
			b.wakeAt = e.At
		}
	}
}

// advance moves the clock forward and sends a tick if one is due.
func (b *shardBench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	if !b.wakeAt.IsZero() && !b.now.Before(b.wakeAt) {
		b.wakeAt = time.Time{}
		b.applyEvent(wigeonscheduler.Tick{})
	}
}

// requestPermit sends the next permit request. Requests rotate over the organisations and tiers. The first eighth of the
// prompt's blocks is shared by a quarter of all requests.
func (b *shardBench) requestPermit() {
	n := b.requestCount
	b.requestCount++
	prefix := make([]wigeonshift.BlockHash, promptBlocks)
	for i := range prefix {
		if i < promptBlocks/8 {
			prefix[i] = wigeonshift.BlockHash(n%4*promptBlocks + uint64(i))
		} else {
			prefix[i] = wigeonshift.BlockHash((n+1)<<20 + uint64(i))
		}
	}
	b.applyEvent(wigeonscheduler.PermitRequested{Entry: "entry" + strconv.FormatUint(n%8, 10), Request: wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID("request" + strconv.FormatUint(n, 10)), Shard: "p/s/r/0", Product: "p",
		Organisation: organisationName(int(n % uint64(b.organisations))), Rank: wigeonshift.TierRank(n % 4), Model: "m",
		Deadline: b.now.Add(b.deadline), PromptTokens: promptTokens, MaxTokens: outputTokens, Prefix: prefix,
		Fingerprint: wigeonshift.Fingerprint(n),
	}})
}

// reportAttempt reports a state of an attempt to the reducer.
func (b *shardBench) reportAttempt(p grantedPermit, state wigeonshift.AttemptState, done int, elapsed time.Duration) {
	b.applyEvent(wigeonscheduler.AttemptReported{Entry: p.entry, Report: wigeonshift.AttemptReport{
		Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, TokensDone: done,
		CachedTokens: p.CachedTokens, Elapsed: elapsed,
	}})
}

// queueLength returns the number of queued requests of all tiers.
func (b *shardBench) queueLength() int {
	sum := 0
	for _, t := range b.state.Shard.Status().Tiers {
		sum += t.Queued
	}
	return sum
}

// step finishes the attempts that have run for attemptDuration, requests one permit, and starts the attempts granted
// meanwhile.
func (b *shardBench) step(concurrency int) {
	startedCount := len(b.runningPermits)
	b.advance(attemptDuration / time.Duration(concurrency))
	for len(b.runningPermits) > 0 && b.now.Sub(b.runningPermits[0].grantedAt) >= attemptDuration {
		p := b.runningPermits[0]
		b.runningPermits = b.runningPermits[1:]
		startedCount--
		b.reportAttempt(p, wigeonshift.AttemptFinished, outputTokens, attemptDuration)
	}
	b.requestPermit()
	for _, p := range b.runningPermits[startedCount:] {
		b.reportAttempt(p, wigeonshift.AttemptStarted, 0, 0)
		b.reportAttempt(p, wigeonshift.AttemptFirstToken, 1, firstTokenLatency)
	}
}

// measureEventMicros returns the mean processor time of one event in microseconds, ticks included. The load uses a quarter
// of the slots.
func measureEventMicros(endpoints, organisations, requests int) (float64, error) {
	b := newShardBench(endpoints, organisations, shortDeadline)
	concurrency := max(1, endpoints*slotsPerEndpoint/4)
	for range concurrency + requests/10 {
		b.step(concurrency)
	}
	start := processorTime()
	for range requests {
		b.step(concurrency)
	}
	took := processorTime() - start
	if queued := b.queueLength(); queued > concurrency {
		return 0, oops.In("measure").With("endpoints", endpoints).Errorf("%d requests are queued: the workload exceeds the capacity", queued)
	}
	return float64(took.Nanoseconds()) / 1e3 / float64(requests*eventsPerRequest), nil
}

// MeasureReducer measures the processor time and memory of the owner's reducer.
func (s Scale) MeasureReducer(_ context.Context) ([]Series, error) {
	medianOfRuns := func(measure func(n int) (float64, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			runs := make([]float64, s.Repeats)
			for i := range runs {
				one, err := measure(n)
				if err != nil {
					return 0, err
				}
				runs[i] = one
			}
			return median(runs), nil
		}
	}
	byEndpoint, err := measurePoints(s.Endpoints, medianOfRuns(func(n int) (float64, error) { return measureEventMicros(n, 100, s.Requests) }))
	if err != nil {
		return nil, err
	}
	byOrganisation, err := measurePoints(s.Organisations, medianOfRuns(func(n int) (float64, error) { return measureEventMicros(64, n, s.Requests) }))
	if err != nil {
		return nil, err
	}
	byQueue := make([]Point, 0, len(s.QueuedRequests))
	for _, n := range s.QueuedRequests {
		b := newShardBench(1, 100, longDeadline)
		before := liveHeap()
		for range n {
			b.requestPermit()
		}
		byQueue = append(byQueue, Point{X: float64(b.queueLength()), Y: liveHeap() - before})
		runtime.KeepAlive(b)
	}
	byRunning, _ := measurePoints(s.Endpoints, func(n int) (float64, error) {
		b := newShardBench(n, 100, shortDeadline)
		before := liveHeap()
		for range n * slotsPerEndpoint / 4 {
			b.requestPermit()
		}
		used := liveHeap() - before
		return used / float64(len(b.runningPermits)), nil
	})
	return []Series{
		newSeries("reducerEventEndpoints", "endpoints of the shard", "µs of processor time an event",
			"median run of a fixed sequence of permits at a quarter of the slots, ticks included", byEndpoint),
		newSeries("reducerEventOrganisations", "organisations of the product", "µs of processor time an event",
			"the same with 64 endpoints, requests of all organisations in turn", byOrganisation),
		newSeries("reducerQueueHeap", "requests queued", "bytes of heap",
			"live heap after queuing requests of 16 prefix blocks at one endpoint", byQueue),
		newSeries("reducerRunningHeap", "endpoints of the shard", "bytes of heap a running request",
			"live heap after granting 2 permits an endpoint, prefix index included", byRunning),
	}, nil
}

// MeasurePrefix measures the memory of the prefix index, with and without blocks that the endpoints share.
func (s Scale) MeasurePrefix(_ context.Context) ([]Series, error) {
	const blocks = 4096
	var own, shared []Point
	for _, endpoints := range []int{4, 16, 64} {
		for _, common := range []bool{false, true} {
			b := newShardBench(endpoints, 1, shortDeadline)
			before := liveHeap()
			for i := range endpoints {
				b.applyEvent(wigeonscheduler.CacheReported{
					Endpoint: fmt.Sprintf("engine%04d", i), Batch: cacheStoredBatch(i, blocks, common),
				})
			}
			point := Point{X: float64(endpoints * blocks), Y: liveHeap() - before}
			runtime.KeepAlive(b)
			if common {
				shared = append(shared, point)
			} else {
				own = append(own, point)
			}
		}
	}
	return []Series{
		newSeries("prefixHeapOwn", "blocks cached", "bytes of heap", "4,096 blocks at each endpoint, none in common", own),
		newSeries("prefixHeapShared", "blocks cached", "bytes of heap", "4,096 blocks at each endpoint, all in common", shared),
	}, nil
}

// cacheStoredBatch returns the cache event of an endpoint that stored count blocks. If common is true, all endpoints store
// the same blocks.
func cacheStoredBatch(endpoint, count int, common bool) wigeonshift.CacheBatch {
	hashes := make([]wigeonshift.BlockHash, count)
	for i := range hashes {
		hashes[i] = wigeonshift.BlockHash(i + 1)
		if !common {
			hashes[i] += wigeonshift.BlockHash(endpoint+1) << 32
		}
	}
	return wigeonshift.CacheBatch{Incarnation: "1", Events: []wigeonshift.CacheEvent{
		{Sequence: 1, Kind: wigeonshift.CacheStored, Blocks: hashes},
	}}
}
