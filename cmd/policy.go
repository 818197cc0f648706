package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"wigeonshift/internal/policy/wigeonbench"
	"wigeonshift/internal/policy/wigeontrace"
)

// PolicyCommand compares the scheduling policy with baseline policies on seeded traces in virtual time.
type PolicyCommand struct {
	Scenario string `help:"Simulate only this scenario."`
	Seed     uint64 `default:"1" help:"Seed of the traces; the same seed gives the same results."`
	JSON     bool   `name:"json" help:"Print JSON instead of a table."`
	Out      string `help:"Directory to write policy.json and policy.txt to." type:"path"`
}

// Run simulates the scenarios and prints the results.
func (c *PolicyCommand) Run(s Streams) error {
	names := wigeontrace.ScenarioNames
	if c.Scenario != "" {
		if !slices.Contains(names, c.Scenario) {
			return fmt.Errorf("%w: unknown scenario %q: must be one of %v", errUsage, c.Scenario, names)
		}
		names = []string{c.Scenario}
	}
	var results []wigeonbench.Result
	for _, name := range names {
		results = append(results, wigeonbench.RunAll(name, c.Seed)...)
	}
	if c.Out != "" {
		if err := writePolicyResults(c.Out, results); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return wigeonbench.WriteTable(s.Out, results)
}

// writePolicyResults writes the results as JSON and as a table.
func writePolicyResults(dir string, results []wigeonbench.Result) error {
	document, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "policy.json"), append(document, '\n'), 0o644); err != nil {
		return err
	}
	tableFile, err := os.Create(filepath.Join(dir, "policy.txt"))
	if err != nil {
		return err
	}
	defer tableFile.Close()
	return wigeonbench.WriteTable(tableFile, results)
}
