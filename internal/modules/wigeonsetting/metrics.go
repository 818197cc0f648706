package wigeonsetting

// Metrics holds the settings of the metrics page.
type Metrics struct {
	// Listen is the IP number and port of the metrics page; empty turns it off.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
}

func defaultMetrics() Metrics {
	return Metrics{Listen: "127.0.0.1:7300"}
}
