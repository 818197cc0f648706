package cmd

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

	"wigeonshift/internal/modules/wigeonlog"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeonnode"
)

// NodeCommand runs one instance until a signal stops it.
type NodeCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file; see docs/wigeonshift.example.toml."`
	Check  bool   `help:"Check the settings and exit."`
}

// Run starts the node, waits for a signal and drains. A second signal aborts the drain.
func (c *NodeCommand) Run(ctx context.Context, s Streams) error {
	settings, err := wigeonsetting.Load(c.Config)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	if c.Check {
		return nil
	}
	log, err := wigeonlog.New(settings.Log, s.Err)
	if err != nil {
		return err
	}
	node, err := wigeonnode.New(ctx, settings, log)
	if err != nil {
		return err
	}
	if err := node.Start(ctx); err != nil {
		return errors.Join(err, node.Close(ctx))
	}
	<-ctx.Done()
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return node.Stop(stopCtx)
}
