// Command wigeonrelay runs one instance of the request scheduler on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli defines the commands and flags.
type cli struct {
	Serve   serveCommand   `cmd:"" help:"Run one instance until SIGINT or SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Validate a settings file and exit."`
	Explain explainCommand `cmd:"" help:"Print the log lines of one request from all instances."`
	// Quarantine works on the store, whether or not an instance runs.
	Quarantine quarantineCommand `cmd:"" help:"Show and clear what is refused because endpoints crashed under it."`
	Rollout    rolloutCommand    `cmd:"" help:"Show the rollouts that are ordered, their states and why."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("wigeonrelay"), kong.Description("Request scheduler in front of heterogeneous engines."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wigeonrelay:", err)
		os.Exit(1)
	}
}
