package wigeonslope

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
)

// fleetStartTimeout limits the wait for the first owner, or the active configuration, of a fleet.
const fleetStartTimeout = 20 * time.Second

// fleetPollPeriod is the time between two checks of a fleet's state.
const fleetPollPeriod = 5 * time.Millisecond

// Shard and model of a fleet with one shard.
const (
	singleShard = wigeonshift.ShardID("p/s0/r/0")
	singleModel = "m0"
)

// awaitOwner waits until a node owns a shard and returns it with the other running nodes.
func (f *fleet) awaitOwner(ctx context.Context) (owner *node, others []*node, err error) {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	for {
		owner, others = nil, nil
		for _, n := range f.nodes {
			switch {
			case n.stopped:
			case len(n.manager.Statuses()) > 0:
				owner = n
			default:
				others = append(others, n)
			}
		}
		if owner != nil {
			return owner, others, nil
		}
		if err := sleep(ctx, fleetPollPeriod); err != nil {
			return nil, nil, oops.In("measure").Wrapf(err, "no node became the owner of a shard")
		}
	}
}

// completePermit requests a permit and reports the states of its attempt until it is finished.
func (n *node) completePermit(ctx context.Context) error {
	s, p, err := n.requestPermit(ctx, singleShard, singleModel)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return err
	}
	for _, state := range []wigeonshift.AttemptState{
		wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished,
	} {
		reportAttempt(s, p, state)
	}
	return nil
}

// MeasurePermits measures the complete exchange about a permit between an entry instance and an owner.
func (s Scale) MeasurePermits(ctx context.Context) (series []Series, err error) {
	f, err := startFleet(ctx, fleetSize{nodes: 2, shards: 1, endpointsPerShard: 16})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return nil, err
	}
	owner, others, err := f.awaitOwner(ctx)
	if err != nil {
		return nil, err
	}
	entry := others[0]
	if err := entry.completePermit(ctx); err != nil {
		return nil, err
	}
	var processor, bytes []Point
	for _, count := range s.Permits {
		started, before := processorTime(), owner.peerMeter.bytes.Load()
		for range count {
			if err := entry.completePermit(ctx); err != nil {
				return nil, err
			}
		}
		processor = append(processor, Point{float64(count), float64((processorTime() - started).Microseconds())})
		bytes = append(bytes, Point{float64(count), float64(owner.peerMeter.bytes.Load() - before)})
	}
	method := "ask with 16 prefix blocks, grant, started, first token, finished; one at a time over loopback without TLS"
	return []Series{
		newSeries("permitProcessor", "permits", "µs of processor time, entry and owner together", method, processor),
		newSeries("permitBytes", "permits", "bytes at the owner, sent and received", method, bytes),
	}, nil
}

// MeasureTakeover measures the time from the crash of an owner to the first grant of the next owner, and the costs of the
// reports that the next owner receives from entry instances.
func (s Scale) MeasureTakeover(ctx context.Context) ([]Series, error) {
	delay, err := measurePoints(s.RunningAttempts, func(running int) (float64, error) {
		runs := make([]float64, s.Repeats)
		for i := range runs {
			took, err := s.measureTakeoverDelay(ctx, running)
			if err != nil {
				return 0, err
			}
			runs[i] = took.Seconds()
		}
		return median(runs), nil
	})
	if err != nil {
		return nil, err
	}
	bytes, err := measurePoints(s.RunningAttempts, func(running int) (float64, error) {
		frame, err := wigeonwire.FrameOf(wigeonshift.RunningNotice{Shard: singleShard, Epoch: 1, Attempts: runningAttempts(running)})
		if err != nil {
			return 0, err
		}
		b, err := wigeonwire.EncodeFrame(frame)
		return float64(len(b)), err
	})
	if err != nil {
		return nil, err
	}
	rebuild, _ := measurePoints(s.RunningAttempts, func(running int) (float64, error) {
		runs := make([]float64, s.Repeats)
		for i := range runs {
			b := newShardBench(64, 100, shortDeadline)
			reported := runningAttempts(running)
			started := processorTime()
			b.applyEvent(wigeonscheduler.EntryReported{Entry: "entry", Attempts: reported})
			runs[i] = float64((processorTime() - started).Microseconds())
		}
		return median(runs), nil
	})
	return []Series{
		newSeries("takeoverDelay", "attempts in flight", "s from the owner's death to the next grant",
			"median of runs of 3 nodes over loopback; the owner's connections break and its platform calls fail", delay),
		newSeries("takeoverBytes", "attempts in flight", "bytes", "the entry's report to the new owner as encoded", bytes),
		newSeries("takeoverProcessor", "attempts in flight", "µs of processor time", "the new owner's reducer takes the report", rebuild),
	}, nil
}

// measureTakeoverDelay kills the owner of a shard and returns the time until the next grant.
func (s Scale) measureTakeoverDelay(ctx context.Context, running int) (took time.Duration, err error) {
	f, err := startFleet(ctx, fleetSize{nodes: 3, shards: 1, endpointsPerShard: 16})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return 0, err
	}
	owner, others, err := f.awaitOwner(ctx)
	if err != nil {
		return 0, err
	}
	// The entry should not be the next owner, which would answer its own request locally.
	entry := others[len(others)-1]
	for range running + 1 {
		session, p, err := entry.requestPermit(ctx, singleShard, singleModel)
		if err != nil {
			return 0, err
		}
		reportAttempt(session, p, wigeonshift.AttemptStarted)
	}
	if err := sleep(ctx, s.Settle/4); err != nil {
		return 0, err
	}
	killedAt := time.Now()
	if err := owner.kill(ctx); err != nil {
		return 0, err
	}
	f.core.RemoveInstance(owner.self.ID)
	_, _, err = entry.requestPermit(ctx, singleShard, singleModel)
	return time.Since(killedAt), err
}

// runningAttempts returns attempts in flight as an entry instance reports them to a new owner.
func runningAttempts(count int) []wigeonshift.RunningAttempt {
	attempts := make([]wigeonshift.RunningAttempt, count)
	for i := range attempts {
		prefix := make([]wigeonshift.BlockHash, promptBlocks)
		for b := range prefix {
			prefix[b] = wigeonshift.BlockHash(i<<20 + b + 1<<60)
		}
		id := fmt.Sprintf("5f2b1c9e-0000-4000-8000-%012d", i)
		attempts[i] = wigeonshift.RunningAttempt{
			Request: wigeonshift.PermitRequest{
				ID: wigeonshift.RequestID(id), Shard: singleShard, Product: "p", Organisation: organisationName(i % 100), Tier: "t",
				Model: singleModel, Deadline: time.Unix(1_800_000_000, 0), PromptTokens: promptTokens, MaxTokens: outputTokens,
				Prefix: prefix, Fingerprint: wigeonshift.Fingerprint(i),
			},
			Token: wigeonshift.AttemptToken(fmt.Sprintf("%s#1.%d", singleShard, i)), Endpoint: fmt.Sprintf("engine%04d", i%64),
			TokensDone: 1,
		}
	}
	return attempts
}
