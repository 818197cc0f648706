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

// ownerTimeout bounds the wait for a fleet's first owner.
const ownerTimeout = 20 * time.Second

// pollPause is the time between two looks at a fleet.
const pollPause = 5 * time.Millisecond

// Shard and model of a fleet with one shard.
const (
	onlyShard = wigeonshift.ShardID("p/s0/r/0")
	onlyModel = "m0"
)

// owner waits for the one owner of the first shard and returns it with the other nodes.
func (f *fleet) owner(ctx context.Context) (owner *node, others []*node, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
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
		if err := wait(ctx, pollPause); err != nil {
			return nil, nil, oops.In("measure").Wrapf(err, "no owner")
		}
	}
}

// exchange takes one permit through its life.
func (n *node) exchange(ctx context.Context) error {
	s, p, err := n.ask(ctx, onlyShard, onlyModel)
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return err
	}
	for _, state := range []wigeonshift.AttemptState{
		wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished,
	} {
		report(s, p, state)
	}
	return nil
}

// MeasurePermits measures the whole exchange about a permit between an entry and an owner.
func (s Scale) MeasurePermits(ctx context.Context) (series []Series, err error) {
	f, err := startFleet(ctx, shape{nodes: 2, shards: 1, endpointsPerShard: 16})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return nil, err
	}
	owner, others, err := f.owner(ctx)
	if err != nil {
		return nil, err
	}
	entry := others[0]
	if err := entry.exchange(ctx); err != nil {
		return nil, err
	}
	var processor, bytes []Point
	for _, count := range s.Permits {
		started, before := processorTime(), owner.peers.bytes.Load()
		for range count {
			if err := entry.exchange(ctx); err != nil {
				return nil, err
			}
		}
		processor = append(processor, Point{float64(count), float64((processorTime() - started).Microseconds())})
		bytes = append(bytes, Point{float64(count), float64(owner.peers.bytes.Load() - before)})
	}
	method := "ask with 16 prefix blocks, grant, started, first token, finished; one at a time over loopback without TLS"
	return []Series{
		newSeries("permitProcessor", "permits", "µs of processor time, entry and owner together", method, processor),
		newSeries("permitBytes", "permits", "bytes at the owner, sent and received", method, bytes),
	}, nil
}

// MeasureTakeover measures the time from an owner's death to the first grant of the next, and what the entries'
// reports cost it.
func (s Scale) MeasureTakeover(ctx context.Context) ([]Series, error) {
	delay, err := points(s.Running, func(running int) (float64, error) {
		runs := make([]float64, s.Repeats)
		for i := range runs {
			took, err := s.takeover(ctx, running)
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
	bytes, err := points(s.Running, func(running int) (float64, error) {
		frame, err := wigeonwire.FrameOf(wigeonshift.RunningNotice{Shard: onlyShard, Epoch: 1, Attempts: attempts(running)})
		if err != nil {
			return 0, err
		}
		b, err := wigeonwire.EncodeFrame(frame)
		return float64(len(b)), err
	})
	if err != nil {
		return nil, err
	}
	rebuild, _ := points(s.Running, func(running int) (float64, error) {
		runs := make([]float64, s.Repeats)
		for i := range runs {
			b := newShardBench(64, 100, nearDeadline)
			reported := attempts(running)
			started := processorTime()
			b.send(wigeonscheduler.EntryReported{Entry: "entry", Attempts: reported})
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

// takeover kills the owner of a shard and returns the time to the next grant.
func (s Scale) takeover(ctx context.Context, running int) (took time.Duration, err error) {
	f, err := startFleet(ctx, shape{nodes: 3, shards: 1, endpointsPerShard: 16})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return 0, err
	}
	owner, others, err := f.owner(ctx)
	if err != nil {
		return 0, err
	}
	// An entry other than the next owner: the candidate after the dead one answers itself.
	entry := others[len(others)-1]
	for range running + 1 {
		session, p, err := entry.ask(ctx, onlyShard, onlyModel)
		if err != nil {
			return 0, err
		}
		report(session, p, wigeonshift.AttemptStarted)
	}
	if err := wait(ctx, s.Settle/4); err != nil {
		return 0, err
	}
	died := time.Now()
	if err := owner.kill(ctx); err != nil {
		return 0, err
	}
	f.core.RemoveInstance(owner.self.ID)
	_, _, err = entry.ask(ctx, onlyShard, onlyModel)
	return time.Since(died), err
}

// attempts returns a report of attempts in flight.
func attempts(count int) []wigeonshift.RunningAttempt {
	reported := make([]wigeonshift.RunningAttempt, count)
	for i := range reported {
		prefix := make([]wigeonshift.BlockHash, promptBlocks)
		for b := range prefix {
			prefix[b] = wigeonshift.BlockHash(i<<20 + b + 1<<60)
		}
		id := fmt.Sprintf("5f2b1c9e-0000-4000-8000-%012d", i)
		reported[i] = wigeonshift.RunningAttempt{
			Request: wigeonshift.PermitRequest{
				ID: wigeonshift.RequestID(id), Shard: onlyShard, Product: "p", Organisation: organisationName(i % 100), Tier: "t",
				Model: onlyModel, Deadline: time.Unix(1_800_000_000, 0), PromptTokens: promptTokens, MaxTokens: answerTokens,
				Prefix: prefix, Fingerprint: wigeonshift.Fingerprint(i),
			},
			Token: wigeonshift.AttemptToken(fmt.Sprintf("%s#1.%d", onlyShard, i)), Endpoint: fmt.Sprintf("engine%04d", i%64),
			TokensDone: 1,
		}
	}
	return reported
}
