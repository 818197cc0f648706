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

// StandinFleetCommand runs stand-ins for every endpoint of a configuration in one process until a signal stops them.
type StandinFleetCommand struct {
	Configuration string        `arg:"" type:"existingfile" help:"Configuration, or a patch of an empty one, as JSON."`
	Only          []string      `help:"Name of an endpoint to run; repeatable, defaults to all endpoints."`
	Except        []string      `help:"Name of an endpoint to exclude; repeatable."`
	Latency       time.Duration `help:"Duration of each call to a plain service." default:"2ms"`
	EventLoss     float64       `help:"Fraction of cache events that are lost." default:"0.02"`
	StopTimeout   time.Duration `help:"Time allowed for work in flight to finish at shutdown." default:"30s"`
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
	f := &standinFleet{members: c.newMembers(&configuration)}
	if len(f.members) == 0 {
		return errors.Join(errUsage, fmt.Errorf("%s: no endpoints selected", c.Configuration))
	}
	return serveStandin(ctx, s, "fleet", c.StopTimeout, f)
}

// newMembers creates a stand-in for each selected endpoint, seeded with its position.
func (c *StandinFleetCommand) newMembers(configuration *wigeonshift.Configuration) []standinService {
	var members []standinService
	for _, product := range configuration.Products {
		for _, service := range product.Services {
			for _, name := range slices.Sorted(maps.Keys(service.Endpoints)) {
				if c.isSelected(name) {
					members = append(members, c.newMember(service, service.Endpoints[name], uint64(len(members))))
				}
			}
		}
	}
	return members
}

// isSelected reports whether --only and --except select an endpoint.
func (c *StandinFleetCommand) isSelected(name string) bool {
	return (len(c.Only) == 0 || slices.Contains(c.Only, name)) && !slices.Contains(c.Except, name)
}

// newMember creates the stand-in of one endpoint. An endpoint without models of its own gets those of its service.
func (c *StandinFleetCommand) newMember(service wigeonshift.Service, e wigeonshift.EndpointSpec, seed uint64) standinService {
	if service.Kind == wigeonshift.ServicePlain {
		return wigeonplain.New(e.Address, wigeonplain.WithLatency(c.Latency))
	}
	models := e.Models
	if len(models) == 0 {
		models = service.Models
	}
	cache := wigeonengine.DefaultCache
	cache.EventLoss = c.EventLoss
	return wigeonengine.New(e.Address, wigeonengine.WithSpeed(wigeonengine.GenerationSpeed(e.Generation)),
		wigeonengine.WithModels(models...), wigeonengine.WithCache(cache), wigeonengine.WithSeed(seed))
}

// standinFleet is a group of stand-ins that start and stop together.
type standinFleet struct {
	members []standinService
}

// Start starts all members. If one fails, it stops those already started.
func (f *standinFleet) Start(ctx context.Context) error {
	for i, m := range f.members {
		if err := m.Start(ctx); err != nil {
			f.members = f.members[:i]
			return errors.Join(err, f.Stop(ctx))
		}
	}
	return nil
}

// Stop stops all members concurrently.
func (f *standinFleet) Stop(ctx context.Context) error {
	errs := make([]error, len(f.members))
	var wg conc.WaitGroup
	for i, m := range f.members {
		s := &memberStopper{ctx: ctx, member: m, err: &errs[i]}
		wg.Go(s.run)
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Address returns the address of the first member and the number of the others.
func (f *standinFleet) Address() string {
	return fmt.Sprintf("%s and %d more", f.members[0].Address(), len(f.members)-1)
}

// memberStopper stops one member in a goroutine of its own.
type memberStopper struct {
	ctx    context.Context //nolint:containedctx // It limits the time of the stop.
	member standinService
	err    *error
}

func (s *memberStopper) run() {
	*s.err = s.member.Stop(s.ctx)
}
