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
	slotsPerEndpoint = 8
	promptBlocks     = 16
	promptTokens     = promptBlocks * wigeonshift.PrefixBlockTokens
	answerTokens     = 256
	firstTokenTime   = 50 * time.Millisecond
	answerTime       = time.Second
	// farDeadline is beyond any queue of the measurements.
	farDeadline  = 10_000 * time.Hour
	nearDeadline = 15 * time.Second
	// eventsPerRequest are asked, started, first token and finished.
	eventsPerRequest = 4
)

// shardBench drives one shard's reducer with a fixed sequence of events.
type shardBench struct {
	state         *wigeonscheduler.State
	now, wakeAt   time.Time
	organisations int
	deadline      time.Duration
	asked         uint64
	running       []granted
}

// granted is a permit with the entry that spends it.
type granted struct {
	*wigeonshift.Permit
	entry string
	at    time.Time
}

// newShardBench returns an owner of unlike endpoints for a product with a number of organisations.
func newShardBench(endpoints, organisations int, deadline time.Duration) *shardBench {
	b := &shardBench{
		deadline: deadline,
		state:    &wigeonscheduler.State{Shard: wigeonscheduler.NewShard("p/s/r/0", wigeonscheduler.WithMaxQueueSeconds(1e9))},
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), organisations: organisations,
	}
	b.send(wigeonscheduler.LeaseAcquired{Epoch: 1})
	b.send(changed(1, endpoints, organisations))
	return b
}

// changed returns a configuration of a size.
func changed(version uint64, endpoints, organisations int) wigeonscheduler.ConfigurationChanged {
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

// send applies an event and keeps the permits granted.
func (b *shardBench) send(body wigeonscheduler.EventBody) {
	for _, effect := range wigeonscheduler.Reduce(b.state, wigeonscheduler.Event{At: b.now, Random: b.asked, Body: body}) {
		switch e := effect.(type) {
		case wigeonscheduler.AnswerPermit:
			if e.Answer.Grant != nil {
				b.running = append(b.running, granted{e.Answer.Grant, e.Entry, b.now})
			}
		case wigeonscheduler.WakeAt:
			b.wakeAt = e.At
		}
	}
}

// advance moves the clock and delivers a tick that is due.
func (b *shardBench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	if !b.wakeAt.IsZero() && !b.now.Before(b.wakeAt) {
		b.wakeAt = time.Time{}
		b.send(wigeonscheduler.Tick{})
	}
}

// ask sends the next request: the organisations in turn, an eighth of the prompt's blocks shared by a quarter of all.
func (b *shardBench) ask() {
	n := b.asked
	b.asked++
	prefix := make([]wigeonshift.BlockHash, promptBlocks)
	for i := range prefix {
		if i < promptBlocks/8 {
			prefix[i] = wigeonshift.BlockHash(n%4*promptBlocks + uint64(i))
		} else {
			prefix[i] = wigeonshift.BlockHash((n+1)<<20 + uint64(i))
		}
	}
	b.send(wigeonscheduler.PermitRequested{Entry: "entry" + strconv.FormatUint(n%8, 10), Request: wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID("request" + strconv.FormatUint(n, 10)), Shard: "p/s/r/0", Product: "p",
		Organisation: organisationName(int(n % uint64(b.organisations))), Rank: wigeonshift.TierRank(n % 4), Model: "m",
		Deadline: b.now.Add(b.deadline), PromptTokens: promptTokens, MaxTokens: answerTokens, Prefix: prefix,
		Fingerprint: wigeonshift.Fingerprint(n),
	}})
}

// report tells a state of an attempt.
func (b *shardBench) report(p granted, state wigeonshift.AttemptState, done int, elapsed time.Duration) {
	b.send(wigeonscheduler.AttemptReported{Entry: p.entry, Report: wigeonshift.AttemptReport{
		Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, TokensDone: done,
		CachedTokens: p.CachedTokens, Elapsed: elapsed,
	}})
}

// queued returns the number of requests that wait.
func (b *shardBench) queued() int {
	sum := 0
	for _, t := range b.state.Shard.Status().Tiers {
		sum += t.Queued
	}
	return sum
}

// step ends the attempts whose time is up, asks for one request and begins what is granted.
func (b *shardBench) step(concurrency int) {
	begun := len(b.running)
	b.advance(answerTime / time.Duration(concurrency))
	for len(b.running) > 0 && b.now.Sub(b.running[0].at) >= answerTime {
		p := b.running[0]
		b.running = b.running[1:]
		begun--
		b.report(p, wigeonshift.AttemptFinished, answerTokens, answerTime)
	}
	b.ask()
	for _, p := range b.running[begun:] {
		b.report(p, wigeonshift.AttemptStarted, 0, 0)
		b.report(p, wigeonshift.AttemptFirstToken, 1, firstTokenTime)
	}
}

// timePerEvent returns the processor time of one event in microseconds, ticks included, at a quarter of the slots.
func timePerEvent(endpoints, organisations, requests int) (float64, error) {
	b := newShardBench(endpoints, organisations, nearDeadline)
	concurrency := max(1, endpoints*slotsPerEndpoint/4)
	for range concurrency + requests/10 {
		b.step(concurrency)
	}
	start := processorTime()
	for range requests {
		b.step(concurrency)
	}
	took := processorTime() - start
	if waiting := b.queued(); waiting > concurrency {
		return 0, oops.In("measure").With("endpoints", endpoints).Errorf("%d requests wait: the workload is beyond the capacity", waiting)
	}
	return float64(took.Nanoseconds()) / 1e3 / float64(requests*eventsPerRequest), nil
}

// MeasureReducer measures the owner's decision logic.
func (s Scale) MeasureReducer(_ context.Context) ([]Series, error) {
	perEvent := func(time func(n int) (float64, error)) func(int) (float64, error) {
		return func(n int) (float64, error) {
			runs := make([]float64, s.Repeats)
			for i := range runs {
				one, err := time(n)
				if err != nil {
					return 0, err
				}
				runs[i] = one
			}
			return median(runs), nil
		}
	}
	byEndpoint, err := points(s.Endpoints, perEvent(func(n int) (float64, error) { return timePerEvent(n, 100, s.Requests) }))
	if err != nil {
		return nil, err
	}
	byOrganisation, err := points(s.Organisations, perEvent(func(n int) (float64, error) { return timePerEvent(64, n, s.Requests) }))
	if err != nil {
		return nil, err
	}
	byQueue := make([]Point, 0, len(s.Queued))
	for _, n := range s.Queued {
		b := newShardBench(1, 100, farDeadline)
		before := liveHeap()
		for range n {
			b.ask()
		}
		byQueue = append(byQueue, Point{X: float64(b.queued()), Y: liveHeap() - before})
		runtime.KeepAlive(b)
	}
	byRunning, _ := points(s.Endpoints, func(n int) (float64, error) {
		b := newShardBench(n, 100, nearDeadline)
		before := liveHeap()
		for range n * slotsPerEndpoint / 4 {
			b.ask()
		}
		used := liveHeap() - before
		return used / float64(len(b.running)), nil
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

// MeasurePrefix measures the memory of the prefix index.
func (s Scale) MeasurePrefix(_ context.Context) ([]Series, error) {
	const blocks = 4096
	var own, shared []Point
	for _, endpoints := range []int{4, 16, 64} {
		for _, common := range []bool{false, true} {
			b := newShardBench(endpoints, 1, nearDeadline)
			before := liveHeap()
			for i := range endpoints {
				b.send(wigeonscheduler.CacheReported{
					Endpoint: fmt.Sprintf("engine%04d", i), Batch: storedBatch(i, blocks, common),
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

// storedBatch returns the cache event of an endpoint that stored blocks.
func storedBatch(endpoint, count int, common bool) wigeonshift.CacheBatch {
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
