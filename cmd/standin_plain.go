package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonfault"
	"wigeonshift/internal/standin/wigeonplain"
)

// StandinPlainCommand runs a stand-in plain service until a signal.
type StandinPlainCommand struct {
	Address     string        `help:"Address to listen at." default:"127.0.0.1:9101"`
	Latency     time.Duration `help:"Time that each call takes." default:"2ms"`
	Faults      string        `help:"Faults in force at first, as JSON." default:"{}"`
	StopTimeout time.Duration `help:"Time that calls get to finish at the end." default:"30s"`
}

// Run runs the service.
func (c *StandinPlainCommand) Run(ctx context.Context, s Streams) error {
	faults, err := wigeonfault.Parse([]byte(c.Faults))
	if err != nil {
		return errors.Join(errUsage, fmt.Errorf("--faults: %w", err))
	}
	service := wigeonplain.New(c.Address, wigeonplain.WithLatency(c.Latency), wigeonplain.WithFaults(faults))
	return serveStandin(ctx, s, "plain service", c.StopTimeout, service)
}
