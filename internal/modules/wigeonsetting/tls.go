package wigeonsetting

// TLS holds the certificate files of a listener or client. TLS is disabled if all are empty.
type TLS struct {
	// Certificate and Key are PEM files. They are reloaded when they change.
	Certificate string `toml:"certificate" validate:"required_with=Key"`
	Key         string `toml:"key" validate:"required_with=Certificate"`
	// Authority is a PEM file with the CA certificates that must have signed the other side's certificate. Setting it
	// makes authentication mutual.
	Authority string `toml:"authority"`
	// ServerName is the DNS name that server certificates must contain; empty means "wigeonshift". Listeners ignore it.
	ServerName string `toml:"serverName"`
}

// Enabled reports whether a certificate or CA file is set.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Authority != ""
}
