// Command wigeonrelay runs an instance of the request scheduler on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the grammar of the command line.
type cli struct {
	Serve   serveCommand   `cmd:"" help:"Run one instance until a signal stops it."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and exit."`
	Explain explainCommand `cmd:"" help:"Print what the logs say of one request, over all instances."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("wigeonrelay"), kong.Description("Request scheduler before unlike engines."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wigeonrelay:", err)
		os.Exit(1)
	}
}
