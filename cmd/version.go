package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// VersionCommand prints the version of the binary.
type VersionCommand struct{}

// Run prints the version.
func (c *VersionCommand) Run(s Streams) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(s.Out, "wigeonshift %s (%s)\n", version, runtime.Version())
	return err
}
