package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/platform"
)

// quarantineTimeout limits the calls of a quarantine command to the store.
const quarantineTimeout = 10 * time.Second

// quarantineCommand shows and clears what the instances know of requests that crash endpoints.
type quarantineCommand struct {
	List  quarantineListCommand  `cmd:"" help:"List the requests that are refused because endpoints crashed under them, and what crashes have in common."`
	Clear quarantineClearCommand `cmd:"" help:"Let requests pass again that are refused for crashes."`
}

// quarantineListCommand lists what is refused or tried.
type quarantineListCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
}

// quarantineClearCommand clears a request or a feature.
type quarantineClearCommand struct {
	Config      string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
	Fingerprint string `arg:"" help:"Fingerprint of a request, of its content, or of a feature, as list and the logs show it."`
}

// Run prints the causes of crashes and the refused requests.
func (c *quarantineListCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	_, record, err := readQuarantine(ctx, c.Config)
	if err != nil {
		return err
	}
	return printQuarantine(os.Stdout, record)
}

// Run removes the crashes of a request or content, and records that a feature is sound.
func (c *quarantineClearCommand) Run() error {
	n, err := strconv.ParseUint(c.Fingerprint, 16, 64)
	if err != nil {
		return fmt.Errorf("%q is no fingerprint: %w", c.Fingerprint, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	store, record, err := readQuarantine(ctx, c.Config)
	if err != nil {
		return err
	}
	writes, err := record.ClearingWrites(wigeonshift.Fingerprint(n), time.Now())
	if err != nil {
		return err
	}
	if len(writes) == 0 {
		return fmt.Errorf("no crash is known under %s", c.Fingerprint)
	}
	for len(writes) > 0 {
		batch := writes[:min(len(writes), wigeonquarantine.MaxTransactionRows)]
		if _, err := store.Commit(ctx, wigeonshift.TableQuarantine, wigeonshift.Transaction{Writes: batch}); err != nil {
			return err
		}
		writes = writes[len(batch):]
	}
	return nil
}

// readQuarantine reads the quarantine table of the store that a settings file names.
func readQuarantine(ctx context.Context, path string) (*platform.Store, *wigeonquarantine.Record, error) {
	settings, err := wigeonsetting.LoadRelay(path)
	if err != nil {
		return nil, nil, err
	}
	store := platform.NewStore(settings.Platform.Address, wigeonsocket.Dial)
	page, err := store.List(ctx, wigeonshift.TableQuarantine)
	if err != nil {
		return nil, nil, err
	}
	record, unreadable := wigeonquarantine.RecordOf(page.Rows)
	if unreadable > 0 {
		fmt.Fprintf(os.Stderr, "wigeonrelay: %d rows can't be read\n", unreadable)
	}
	return store, record, nil
}

// printQuarantine prints one line for each cause of crashes and for each refused request.
func printQuarantine(w io.Writer, record *wigeonquarantine.Record) error {
	for _, c := range record.Causes() {
		state := "tried"
		if c.Certain {
			state = "refused"
		}
		answered := "never"
		if !c.AnsweredAt.IsZero() {
			answered = c.AnsweredAt.UTC().Format(time.RFC3339)
		}
		if _, err := fmt.Fprintf(w, "cause\t%s\t%s\tcrashes=%d\tlatest=%s\tanswered=%s\tendpoints=%s\n",
			strings.Join(wigeonquarantine.FingerprintTexts(c.Features), ","), state, len(c.Endpoints),
			c.LatestAt.UTC().Format(time.RFC3339), answered, strings.Join(c.Endpoints, ",")); err != nil {
			return err
		}
	}
	for _, f := range record.QuarantinedRequests() {
		crashes := record.Crashes(f)
		if _, err := fmt.Fprintf(w, "request\t%s\trefused\tcrashes=%d\tcontent=%s\tuntil=%s\n",
			f, len(crashes), crashes[0].Shared.Content, record.ExpiresAt(f).UTC().Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}
