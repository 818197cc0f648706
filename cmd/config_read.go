package cmd

import (
	"strconv"
	"time"

	"wigeonshift"
)

// ConfigShowCommand prints a configuration.
type ConfigShowCommand struct {
	OperatorFlags
	At     *uint64 `help:"Version to print; default is the version in force on the instance."`
	Newest bool    `help:"Read the newest version from the store instead."`
}

// Run prints the configuration as JSON.
func (c *ConfigShowCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var shown *wigeonshift.Configuration
	if c.At != nil {
		shown, err = client.Snapshot(*c.At)
	} else {
		shown, err = client.Show(c.Newest)
	}
	if err != nil {
		return err
	}
	return printJSON(s.Out, shown)
}

// ConfigHistoryCommand lists changes.
type ConfigHistoryCommand struct {
	OperatorFlags
	After uint64 `help:"List changes after this version."`
	Limit int    `default:"50" help:"Number of changes, at most 200."`
	JSON  bool   `help:"Print JSON, patches included."`
}

// Run prints the changes.
func (c *ConfigHistoryCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	changes, err := client.Changes(c.After, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.Out, changes)
	}
	var rows [][]string
	for _, ch := range changes {
		rows = append(rows, []string{
			strconv.FormatUint(ch.Version, 10), ch.At.Format(timeLayout), ch.Author, ch.PatchID, shorten(string(ch.Patch)),
		})
	}
	return printTable(s.Out, []string{"version", "at", "author", "patch id", "patch"}, rows)
}

// maxShownPatch is the number of characters shown of a patch; "config diff" shows it whole.
const maxShownPatch = 120

// shorten cuts a long patch.
func shorten(text string) string {
	if r := []rune(text); len(r) > maxShownPatch {
		return string(r[:maxShownPatch]) + "…"
	}
	return text
}

// ConfigDiffCommand prints the patch between two versions.
type ConfigDiffCommand struct {
	OperatorFlags
	From uint64 `arg:"" help:"Version to start from."`
	To   uint64 `arg:"" help:"Version to arrive at."`
}

// Run prints the merge patch as JSON.
func (c *ConfigDiffCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	patch, err := client.Diff(c.From, c.To)
	if err != nil {
		return err
	}
	return printJSON(s.Out, patch)
}

// ConfigVersionsCommand lists the versions of the instances.
type ConfigVersionsCommand struct {
	OperatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the versions.
func (c *ConfigVersionsCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	versions, err := client.Versions()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.Out, versions)
	}
	var rows [][]string
	for _, v := range versions {
		known := "unknown"
		if v.Version > 0 {
			known = strconv.FormatUint(v.Version, 10)
		}
		lag := (time.Duration(v.LagMS) * time.Millisecond).String()
		rows = append(rows, []string{v.Instance.ID, v.Instance.Zone, v.Instance.Address, known, lag})
	}
	return printTable(s.Out, []string{"instance", "zone", "address", "version", "lag"}, rows)
}
