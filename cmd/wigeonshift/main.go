// Command wigeonshift runs an instance of the request scheduler and its tools.
package main

import (
	"os"

	"wigeonshift/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
