// Package cmd implements the command line of wigeonshift. The files of a command are named after it.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of the command line.
const (
	ExitOK = 0
	// ExitFailure means that the command ran and failed.
	ExitFailure = 1
	// ExitUsage means that arguments or settings are invalid.
	ExitUsage = 2
)

// errUsage marks errors in user input: arguments, files and settings.
var errUsage = errors.New("usage")

// Streams are the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// CLI defines the commands and their flags.
type CLI struct {
	Node    NodeCommand    `cmd:"" help:"Run one instance."`
	Dev     DevCommand     `cmd:"" help:"Run a complete development site on loopback in one process: stand-ins and nodes."`
	Config  ConfigCommand  `cmd:"" help:"Show and change the configuration."`
	Status  StatusCommand  `cmd:"" help:"Show instances, shards, endpoints and tiers."`
	Standin StandinCommand `cmd:"" help:"Run a stand-in for an external system that wigeonshift uses."`
	Load    LoadCommand    `cmd:"" help:"Send a scenario's requests to running nodes and verify every response."`
	Policy  PolicyCommand  `cmd:"" help:"Compare the scheduling policy with baseline policies."`
	Measure MeasureCommand `cmd:"" help:"Measure how the cost of each role grows with the size of the system, on this machine."`
	Version VersionCommand `cmd:"" help:"Print the version."`
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var cli CLI
	exited, code := false, ExitOK
	parser, err := kong.New(&cli,
		kong.Name("wigeonshift"),
		kong.Description("Request scheduler for heterogeneous engines."),
		kong.UsageOnError(),
		kong.Writers(out, errOut),
		kong.Exit(func(c int) { exited, code = true, c }),
		kong.Bind(Streams{Out: out, Err: errOut}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		fmt.Fprintln(errOut, "wigeonshift:", err)
		return ExitFailure
	}
	parsed, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintln(errOut, "wigeonshift:", err)
		return ExitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(errOut, "wigeonshift:", err)
		if errors.Is(err, errUsage) {
			return ExitUsage
		}
		return ExitFailure
	}
	return ExitOK
}
