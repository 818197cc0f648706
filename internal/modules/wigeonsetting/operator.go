package wigeonsetting

// Operator holds the settings of the API for operators.
type Operator struct {
	// Listen is the IP address and port of the API.
	Listen string        `toml:"listen" validate:"required,hostname_port"`
	Keys   []OperatorKey `toml:"keys" validate:"dive"`
	TLS    TLS           `toml:"tls"`
}

// OperatorKey is the credential of one operator. It contains only the salted hash of the secret.
type OperatorKey struct {
	Name string `toml:"name" validate:"required"`
	// Role is viewer or editor. Only an editor may patch the configuration.
	Role string `toml:"role" validate:"oneof=viewer editor"`
	// Salt and Hash are hexadecimal, as printed by "wigeonshift config keygen".
	Salt string `toml:"salt" validate:"required,hexadecimal"`
	Hash string `toml:"hash" validate:"required,hexadecimal"`
}

func defaultOperator() Operator {
	return Operator{Listen: "127.0.0.1:7200"}
}
