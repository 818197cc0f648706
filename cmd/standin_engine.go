package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonfault"
)

// StandinEngineCommand runs a stand-in model engine until a signal.
type StandinEngineCommand struct {
	Address       string        `help:"Address to listen at." default:"127.0.0.1:9001"`
	Model         []string      `help:"Model loaded at first; repeatable." default:"heron-small"`
	PrefillSpeed  float64       `help:"Uncached prompt tokens a second; 0 takes no time." default:"8000"`
	DecodeStep    time.Duration `help:"Time of one decode step; 0 gives whole answers at once." default:"12ms"`
	BatchSlowdown float64       `help:"Part of the decode step that each further sequence adds." default:"0.03"`
	MaxBatch      int           `help:"Sequences that run together." default:"32"`
	PrefillChunk  int           `help:"Prompt tokens worked on in one step." default:"512"`
	CacheTokens   int           `help:"Capacity of the prefix cache." default:"65536"`
	EventDelay    time.Duration `help:"Time after which a cache event can be read." default:"500ms"`
	EventLoss     float64       `help:"Share of cache events never shown." default:"0"`
	LoadLag       time.Duration `help:"Age that a load report may have." default:"1s"`
	LoadTime      time.Duration `help:"Time that loading a model takes." default:"2s"`
	Seed          uint64        `help:"Seed of the loss of events." default:"1"`
	Faults        string        `help:"Faults in force at first, as JSON." default:"{}"`
	StopTimeout   time.Duration `help:"Time that streams get to finish at the end." default:"30s"`
}

// Run runs the engine.
func (c *StandinEngineCommand) Run(ctx context.Context, s Streams) error {
	faults, err := wigeonfault.Parse([]byte(c.Faults))
	if err != nil {
		return errors.Join(errUsage, fmt.Errorf("--faults: %w", err))
	}
	if c.MaxBatch < 1 || c.PrefillChunk < 1 || c.EventLoss < 0 || c.EventLoss > 1 {
		return errors.Join(errUsage, errors.New("--max-batch and --prefill-chunk from 1, --event-loss from 0 to 1"))
	}
	engine := wigeonengine.New(c.Address,
		wigeonengine.WithModels(c.Model...),
		wigeonengine.WithSpeed(wigeonengine.Speed{
			PrefillTokensPerSecond: c.PrefillSpeed, DecodeStep: c.DecodeStep, BatchSlowdown: c.BatchSlowdown,
			MaxBatch: c.MaxBatch, PrefillChunk: c.PrefillChunk,
		}),
		wigeonengine.WithCache(wigeonengine.CacheSettings{
			Tokens: c.CacheTokens, EventDelay: c.EventDelay, EventLoss: c.EventLoss,
		}),
		wigeonengine.WithLoadLag(c.LoadLag),
		wigeonengine.WithModelLoadTime(c.LoadTime),
		wigeonengine.WithSeed(c.Seed),
		wigeonengine.WithFaults(faults),
	)
	return serveStandin(ctx, s, "engine", c.StopTimeout, engine)
}

// standin is a stand-in service.
type standin interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Address() string
}

// serveStandin runs a stand-in until the context ends, and lets it finish.
func serveStandin(ctx context.Context, s Streams, name string, stopTimeout time.Duration, service standin) error {
	if err := service.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "stand-in %s listens at %s\n", name, service.Address())
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return service.Stop(stopping)
}
