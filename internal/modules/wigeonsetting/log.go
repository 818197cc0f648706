package wigeonsetting

// Log holds the settings of the log, which goes to standard error.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
	Format string `toml:"format" validate:"oneof=json text"`
}

func defaultLog() Log {
	return Log{Level: "info", Format: "json"}
}
