package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/platform"
)

// rolloutCommand shows the rollout orders and their states.
type rolloutCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
}

// Run prints the orders and states that the store holds.
func (c *rolloutCommand) Run() error {
	settings, err := wigeonsetting.LoadRelay(c.Config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	store := platform.NewStore(settings.Platform.Address, wigeonsocket.Dial)
	orders, err := store.List(ctx, wigeonshift.TableConfiguration)
	if err != nil {
		return err
	}
	states, err := store.List(ctx, wigeonshift.TableStatus)
	if err != nil {
		return err
	}
	return printRollouts(os.Stdout, orders, states)
}

// printRollouts prints one line for each order with its state and the reason, and one for each state without an order.
func printRollouts(w io.Writer, orders, states wigeonshift.TablePage) error {
	byService := map[string]wigeonshift.RolloutStatus{}
	for _, row := range states.Rows {
		status, ok, err := platform.Codec{}.RolloutStatus(row)
		if ok && err == nil {
			byService[status.Service] = status
		}
	}
	for _, row := range orders.Rows {
		order, ok, err := platform.Codec{}.RolloutOrder(row)
		if !ok {
			continue
		}
		if err != nil {
			fmt.Fprintf(w, "%s\tunreadable\t%v\n", row.Key, err)
			continue
		}
		status := byService[order.Service]
		delete(byService, order.Service)
		if status.OrderRevision != order.Revision {
			fmt.Fprintf(w, "%s\tto=%s\tnot begun\tduration=%v\n", order.Service, order.Target, order.Duration)
			continue
		}
		left := order.Duration - time.Duration(states.NowMillis-status.StartedAtMillis)*time.Millisecond
		fmt.Fprintf(w, "%s\tto=%s\t%s\tduration=%v\tleft=%v\treason=%s\n",
			order.Service, order.Target, status.State, order.Duration, max(left, 0), status.Reason)
	}
	for _, row := range states.Rows {
		if status, ok, err := (platform.Codec{}).RolloutStatus(row); ok && err == nil && byService[status.Service].Revision != 0 {
			fmt.Fprintf(w, "%s\tto=%s\t%s\twithout an order\treason=%s\n", status.Service, status.Target, status.State, status.Reason)
		}
	}
	return nil
}
