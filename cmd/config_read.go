package cmd

import (
	"strconv"
	"time"

	"wigeonshift"
)

// ConfigShowCommand prints one version of the configuration.
type ConfigShowCommand struct {
	OperatorFlags
	At     *uint64 `help:"Version to print; defaults to the version that is active on the instance."`
	Newest bool    `help:"Print the newest version in the store instead."`
}

// Run prints the configuration as JSON.
func (c *ConfigShowCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var configuration *wigeonshift.Configuration
	if c.At != nil {
		configuration, err = client.Snapshot(*c.At)
	} else {
		configuration, err = client.Show(c.Newest)
	}
	if err != nil {
		return err
	}
	return printJSON(s.Out, configuration)
}

// ConfigHistoryCommand lists accepted changes, oldest first.
type ConfigHistoryCommand struct {
	OperatorFlags
	After uint64 `help:"List changes after this version."`
	Limit int    `default:"50" help:"Maximum number of changes to list, at most 200."`
	JSON  bool   `help:"Print JSON, with complete patches."`
}

// Run prints the changes as a table or as JSON.
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
			strconv.FormatUint(ch.Version, 10), ch.At.Format(timeLayout), ch.Author, ch.PatchID, truncatePatch(string(ch.Patch)),
		})
	}
	return printTable(s.Out, []string{"version", "at", "author", "patch id", "patch"}, rows)
}

// maxPatchRunes is the maximum length of a patch in tables and messages; "config diff" prints it in full.
const maxPatchRunes = 120

// truncatePatch cuts a patch to maxPatchRunes and marks the cut with an ellipsis.
func truncatePatch(text string) string {
	if r := []rune(text); len(r) > maxPatchRunes {
		return string(r[:maxPatchRunes]) + "…"
	}
	return text
}

// ConfigDiffCommand prints the merge patch from one version to another.
type ConfigDiffCommand struct {
	OperatorFlags
	From uint64 `arg:"" help:"Version that the patch applies to."`
	To   uint64 `arg:"" help:"Version that the patch produces."`
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

// ConfigVersionsCommand lists the configuration version that is active on each instance.
type ConfigVersionsCommand struct {
	OperatorFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the versions as a table or as JSON.
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
		version := "unknown"
		if v.Version > 0 {
			version = strconv.FormatUint(v.Version, 10)
		}
		lag := (time.Duration(v.LagMS) * time.Millisecond).String()
		rows = append(rows, []string{v.Instance.ID, v.Instance.Zone, v.Instance.Address, version, lag})
	}
	return printTable(s.Out, []string{"instance", "zone", "address", "version", "lag"}, rows)
}
