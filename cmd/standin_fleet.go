package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"

	"github.com/sourcegraph/conc"
)

// StandinFleetCommand runs stand-ins for every endpoint of a configuration in one process, until a signal.
type StandinFleetCommand struct {
	Configuration string        `arg:"" type:"existingfile" help:"Configuration or first patch, as JSON."`
	Only          []string      `help:"Name of an endpoint to run; repeatable, default is all."`
	Except        []string      `help:"Name of an endpoint to leave out; repeatable."`
	Latency       time.Duration `help:"Time that each call of a plain service takes." default:"2ms"`
	EventLoss     float64       `help:"Share of cache events never shown." default:"0.02"`
	StopTimeout   time.Duration `help:"Time that work gets to finish at the end." default:"30s"`
}

// Run runs the stand-ins.
func (c *StandinFleetCommand) Run(ctx context.Context, s Streams) error {
	text, err := os.ReadFile(c.Configuration)
	if err != nil {
		return err
	}
	var configuration wigeonshift.Configuration
	if err := json.Unmarshal(text, &configuration); err != nil {
		return errors.Join(errUsage, fmt.Errorf("%s: %w", c.Configuration, err))
	}
	f := &fleet{members: c.members(&configuration)}
	if len(f.members) == 0 {
		return errors.Join(errUsage, fmt.Errorf("%s: no endpoints", c.Configuration))
	}
	return serveStandin(ctx, s, "fleet", c.StopTimeout, f)
}

// members returns a stand-in for each endpoint.
func (c *StandinFleetCommand) members(configuration *wigeonshift.Configuration) []standin {
	var members []standin
	for _, product := range configuration.Products {
		for _, service := range product.Services {
			for _, name := range slices.Sorted(maps.Keys(service.Endpoints)) {
				if c.runs(name) {
					members = append(members, c.member(service, service.Endpoints[name], uint64(len(members))))
				}
			}
		}
	}
	return members
}

// runs tells whether an endpoint is one of this process.
func (c *StandinFleetCommand) runs(name string) bool {
	return (len(c.Only) == 0 || slices.Contains(c.Only, name)) && !slices.Contains(c.Except, name)
}

func (c *StandinFleetCommand) member(service wigeonshift.Service, e wigeonshift.EndpointSpec, seed uint64) standin {
	if service.Kind == wigeonshift.ServicePlain {
		return wigeonplain.New(e.Address, wigeonplain.WithLatency(c.Latency))
	}
	models := e.Models
	if len(models) == 0 {
		models = service.Models
	}
	cache := wigeonengine.DefaultCache
	cache.EventLoss = c.EventLoss
	return wigeonengine.New(e.Address, wigeonengine.WithSpeed(wigeonengine.SpeedOf(e.Generation)),
		wigeonengine.WithModels(models...), wigeonengine.WithCache(cache), wigeonengine.WithSeed(seed))
}

// fleet is a set of stand-ins that start and stop together.
type fleet struct {
	members []standin
}

// Start starts all members, or none.
func (f *fleet) Start(ctx context.Context) error {
	for i, m := range f.members {
		if err := m.Start(ctx); err != nil {
			f.members = f.members[:i]
			return errors.Join(err, f.Stop(ctx))
		}
	}
	return nil
}

// Stop stops all members at once.
func (f *fleet) Stop(ctx context.Context) error {
	errs := make([]error, len(f.members))
	var wg conc.WaitGroup
	for i, m := range f.members {
		s := &fleetStop{ctx: ctx, member: m, err: &errs[i]}
		wg.Go(s.run)
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Address tells the number of members and the first one's address.
func (f *fleet) Address() string {
	return fmt.Sprintf("%s and %d more", f.members[0].Address(), len(f.members)-1)
}

// fleetStop stops one member.
type fleetStop struct {
	ctx    context.Context //nolint:containedctx // It bounds the stop.
	member standin
	err    *error
}

func (s *fleetStop) run() {
	*s.err = s.member.Stop(s.ctx)
}
