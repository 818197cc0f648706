package wigeonsetting

// Peer holds the settings of the sessions between instances.
type Peer struct {
	// Listen is the IP address and port for sessions from other instances.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// Advertise is the address that other instances dial; empty means Listen.
	Advertise string `toml:"advertise" validate:"omitempty,hostname_port"`
	TLS       TLS    `toml:"tls"`
}

func defaultPeer() Peer {
	return Peer{Listen: "127.0.0.1:7100"}
}
