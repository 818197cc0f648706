package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonfault"
)

// StandinEngineCommand runs a stand-in model engine until a signal stops it.
type StandinEngineCommand struct {
	Address       string        `help:"Address to listen on." default:"127.0.0.1:9001"`
	Model         []string      `help:"Model loaded at start; repeatable." default:"heron-small"`
	PrefillSpeed  float64       `help:"Uncached prompt tokens processed per second; 0 makes prefill instantaneous." default:"8000"`
	DecodeStep    time.Duration `help:"Duration of one decode step; 0 generates each response at once." default:"12ms"`
	BatchSlowdown float64       `help:"Fraction of the decode step that each further sequence of the batch adds." default:"0.03"`
	MaxBatch      int           `help:"Maximum number of sequences in a batch." default:"32"`
	PrefillChunk  int           `help:"Prompt tokens processed in one step." default:"512"`
	CacheTokens   int           `help:"Capacity of the prefix cache in tokens." default:"65536"`
	EventDelay    time.Duration `help:"Delay until a cache event can be read." default:"500ms"`
	EventLoss     float64       `help:"Fraction of cache events that are lost." default:"0"`
	LoadLag       time.Duration `help:"Maximum age of a load report." default:"1s"`
	LoadTime      time.Duration `help:"Time needed to load a model." default:"2s"`
	Seed          uint64        `help:"Seed for the random loss of cache events." default:"1"`
	Faults        string        `help:"Faults active at start, as JSON." default:"{}"`
	StopTimeout   time.Duration `help:"Time allowed for streams to finish at shutdown." default:"30s"`
}

// Run runs the engine.
func (c *StandinEngineCommand) Run(ctx context.Context, s Streams) error {
	faults, err := wigeonfault.Parse([]byte(c.Faults))
	if err != nil {
		return errors.Join(errUsage, fmt.Errorf("--faults: %w", err))
	}
	if c.MaxBatch < 1 || c.PrefillChunk < 1 || c.EventLoss < 0 || c.EventLoss > 1 {
		return errors.Join(errUsage, errors.New("--max-batch and --prefill-chunk must be at least 1, and --event-loss must be from 0 to 1"))
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

// standinService is a stand-in that serveStandin runs.
type standinService interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Address() string
}

// serveStandin runs a stand-in until the context ends. It then gives work in flight up to stopTimeout to finish.
func serveStandin(ctx context.Context, s Streams, name string, stopTimeout time.Duration, service standinService) error {
	if err := service.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "stand-in %s listening on %s\n", name, service.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return service.Stop(stopCtx)
}
