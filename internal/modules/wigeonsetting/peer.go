package wigeonsetting

// Peer holds the settings of the sessions between instances.
type Peer struct {
	// Listen is the IP number and port for other instances.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// Advertise is the address that others dial; empty means Listen.
	Advertise string `toml:"advertise" validate:"omitempty,hostname_port"`
	TLS       TLS    `toml:"tls"`
}

func defaultPeer() Peer {
	return Peer{Listen: "127.0.0.1:7100"}
}
