package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"wigeonshift"

	"github.com/olekukonko/tablewriter"
)

// StatusCommand shows one instance's view of the system and the configuration versions of all instances.
type StatusCommand struct {
	OperatorFlags
	JSON bool `help:"Print JSON."`
}

// systemStatus is the JSON output of the status command.
type systemStatus struct {
	Instance  wigeonshift.InstanceStatus `json:"instance"`
	Instances []instanceVersion          `json:"instances"`
}

// instanceVersion is one row of the table of instances.
type instanceVersion struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	LagMS   int64  `json:"lagMs"`
}

// Run fetches the status from the instance and prints it as tables or as JSON.
func (c *StatusCommand) Run(s Streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	instanceStatus, err := client.Status()
	if err != nil {
		return err
	}
	versions, err := client.Versions()
	if err != nil {
		return err
	}
	status := systemStatus{Instance: instanceStatus}
	for _, v := range versions {
		status.Instances = append(status.Instances, instanceVersion{
			ID: v.Instance.ID, Address: v.Instance.Address, Zone: v.Instance.Zone, Version: v.Version, LagMS: v.LagMS,
		})
	}
	if c.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(status)
	}
	return printStatus(s.Out, status)
}

// printStatus prints a table of all instances, and the tiers and endpoints of each shard that the instance owns.
func printStatus(out io.Writer, status systemStatus) error {
	instance := status.Instance
	fmt.Fprintf(out, "instance %s: ready %t, draining %t, %d requests in flight, configuration %d, confirmed %t\n",
		instance.Instance.ID, instance.Ready, instance.Draining, instance.Requests, instance.ConfigurationVersion, instance.ConfigurationConfirmed)
	rows := make([][]string, 0, len(status.Instances))
	for _, v := range status.Instances {
		rows = append(rows, []string{v.ID, v.Address, v.Zone, strconv.FormatUint(v.Version, 10), fmt.Sprintf("%d ms", v.LagMS)})
	}
	if err := printNonEmptyTable(out, []string{"instance", "address", "zone", "configuration", "lag"}, rows); err != nil {
		return err
	}
	for _, shard := range instance.Shards {
		fmt.Fprintf(out, "\nshard %s: epoch %d, lease held %t\n", shard.Shard, shard.Epoch, shard.LeaseHeld)
		if err := printShard(out, shard); err != nil {
			return err
		}
	}
	return nil
}

// printShard prints the tiers and endpoints of one shard.
func printShard(out io.Writer, shard wigeonshift.ShardStatus) error {
	tierRows := make([][]string, 0, len(shard.Tiers))
	for _, t := range shard.Tiers {
		tierRows = append(tierRows, []string{
			strconv.Itoa(int(t.Rank)), strconv.Itoa(t.Queued), strconv.Itoa(t.Running), strconv.Itoa(t.Paused),
		})
	}
	if err := printNonEmptyTable(out, []string{"tier rank", "queued", "running", "paused"}, tierRows); err != nil {
		return err
	}
	endpointRows := make([][]string, 0, len(shard.Endpoints))
	for _, e := range shard.Endpoints {
		endpointRows = append(endpointRows, []string{
			e.Name, e.Address, string(e.State), e.Health, fmt.Sprintf("%d/%d", e.Running, e.Capacity),
			fmt.Sprintf("%.0f", e.PrefillTokensPerSecond), fmt.Sprintf("%.1f", e.DecodeTokensPerSecond),
		})
	}
	header := []string{"endpoint", "address", "state", "health", "running", "prefill tokens/s", "decode tokens/s"}
	return printNonEmptyTable(out, header, endpointRows)
}

// printNonEmptyTable prints a table, or nothing if there are no rows.
func printNonEmptyTable(out io.Writer, header []string, rows [][]string) error {
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
