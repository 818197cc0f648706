package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"wigeonshift"

	"github.com/olekukonko/tablewriter"
)

// StatusCommand shows one instance's view of the system, and the configuration version of all instances.
type StatusCommand struct {
	OperatorFlags
	JSON bool `help:"Print JSON."`
}

// systemStatus is what the command shows.
type systemStatus struct {
	Instance  wigeonshift.InstanceStatus `json:"instance"`
	Instances []instanceVersion          `json:"instances"`
}

// instanceVersion is one line of the table of instances.
type instanceVersion struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	LagMS   int64  `json:"lagMs"`
}

// Run asks the instance and prints the tables.
func (c *StatusCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status()
	if err != nil {
		return err
	}
	versions, err := client.Versions()
	if err != nil {
		return err
	}
	shown := systemStatus{Instance: status}
	for _, v := range versions {
		shown.Instances = append(shown.Instances, instanceVersion{
			ID: v.Instance.ID, Address: v.Instance.Address, Zone: v.Instance.Zone, Version: v.Version, LagMS: v.LagMS,
		})
	}
	if c.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(shown)
	}
	return printStatus(s.Out, shown)
}

// printStatus prints one table for instances, and for each owned shard its tiers and endpoints.
func printStatus(out io.Writer, shown systemStatus) error {
	i := shown.Instance
	fmt.Fprintf(out, "instance %s: ready %t, draining %t, %d requests in flight, configuration %d, confirmed %t\n",
		i.Instance.ID, i.Ready, i.Draining, i.Requests, i.ConfigurationVersion, i.ConfigurationConfirmed)
	rows := make([][]string, 0, len(shown.Instances))
	for _, v := range shown.Instances {
		rows = append(rows, []string{v.ID, v.Address, v.Zone, strconv.FormatUint(v.Version, 10), fmt.Sprintf("%d ms", v.LagMS)})
	}
	if err := printRows(out, []string{"instance", "address", "zone", "configuration", "lag"}, rows); err != nil {
		return err
	}
	for _, shard := range i.Shards {
		fmt.Fprintf(out, "\nshard %s: epoch %d, lease held %t\n", shard.Shard, shard.Epoch, shard.LeaseHeld)
		if err := printShard(out, shard); err != nil {
			return err
		}
	}
	return nil
}

// printShard prints the tiers and endpoints of one shard.
func printShard(out io.Writer, shard wigeonshift.ShardStatus) error {
	tiers := make([][]string, 0, len(shard.Tiers))
	for _, t := range shard.Tiers {
		tiers = append(tiers, []string{
			strconv.Itoa(int(t.Rank)), strconv.Itoa(t.Queued), strconv.Itoa(t.Running), strconv.Itoa(t.Paused),
		})
	}
	if err := printRows(out, []string{"tier rank", "queued", "running", "paused"}, tiers); err != nil {
		return err
	}
	endpoints := make([][]string, 0, len(shard.Endpoints))
	for _, e := range shard.Endpoints {
		endpoints = append(endpoints, []string{
			e.Name, e.Address, string(e.State), e.Health, fmt.Sprintf("%d/%d", e.Running, e.Capacity),
			fmt.Sprintf("%.0f", e.PrefillTokensPerSecond), fmt.Sprintf("%.1f", e.DecodeTokensPerSecond),
		})
	}
	header := []string{"endpoint", "address", "state", "health", "running", "prefill tokens/s", "decode tokens/s"}
	return printRows(out, header, endpoints)
}

// printRows prints a table; one without rows is left out.
func printRows(out io.Writer, header []string, rows [][]string) error {
	if len(rows) == 0 {
		return nil
	}
	table := tablewriter.NewWriter(out)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return err
	}
	return table.Render()
}
