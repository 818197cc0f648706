package wigeonsetting

// Metrics holds the settings of the metrics server.
type Metrics struct {
	// Listen is the IP address and port of the metrics server; empty disables it.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
}

func defaultMetrics() Metrics {
	return Metrics{Listen: "127.0.0.1:7300"}
}
