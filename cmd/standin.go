package cmd

// StandinCommand groups the commands that emulate the external systems that wigeonshift uses.
type StandinCommand struct {
	Platform StandinPlatformCommand `cmd:"" help:"Run the platform's table, object store, instance list and weight store."`
	Engine   StandinEngineCommand   `cmd:"" help:"Run a model engine."`
	Plain    StandinPlainCommand    `cmd:"" help:"Run a plain service."`
	Fleet    StandinFleetCommand    `cmd:"" help:"Run stand-ins for all endpoints of a configuration in one process."`
}
