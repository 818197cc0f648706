package cmd

// StandinCommand runs small emulations of the systems that wigeonshift works with.
type StandinCommand struct {
	Platform StandinPlatformCommand `cmd:"" help:"Run the platform's table, object store, instance list and weight store."`
	Engine   StandinEngineCommand   `cmd:"" help:"Run a model engine."`
	Plain    StandinPlainCommand    `cmd:"" help:"Run a plain service."`
	Fleet    StandinFleetCommand    `cmd:"" help:"Run every endpoint of a configuration in one process."`
}
