package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonfault"
	"wigeonshift/internal/standin/wigeonplain"
)

// StandinPlainCommand runs a stand-in plain service until a signal stops it.
type StandinPlainCommand struct {
	Address     string        `help:"Address to listen on." default:"127.0.0.1:9101"`
	Latency     time.Duration `help:"Duration of each call." default:"2ms"`
	Faults      string        `help:"Faults active at start, as JSON." default:"{}"`
	StopTimeout time.Duration `help:"Time allowed for calls to finish at shutdown." default:"30s"`
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
