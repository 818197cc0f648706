package wigeonsetting

// Operator holds the settings of the operators' API.
type Operator struct {
	// Listen is the IP number and port for operators.
	Listen string        `toml:"listen" validate:"required,hostname_port"`
	Keys   []OperatorKey `toml:"keys" validate:"dive"`
	TLS    TLS           `toml:"tls"`
}

// OperatorKey is one operator's credential. The secret itself is never stored.
type OperatorKey struct {
	Name string `toml:"name" validate:"required"`
	// Role is viewer or editor; an editor may patch the configuration.
	Role string `toml:"role" validate:"oneof=viewer editor"`
	// Salt and Hash are hexadecimal, as "wigeonshift config keygen" prints them.
	Salt string `toml:"salt" validate:"required,hexadecimal"`
	Hash string `toml:"hash" validate:"required,hexadecimal"`
}

func defaultOperator() Operator {
	return Operator{Listen: "127.0.0.1:7200"}
}
