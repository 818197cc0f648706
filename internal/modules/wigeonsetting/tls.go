package wigeonsetting

// TLS names the files of one TLS use. All empty turns TLS off.
type TLS struct {
	// Certificate and Key are PEM files, reloaded when they change.
	Certificate string `toml:"certificate" validate:"required_with=Key"`
	Key         string `toml:"key" validate:"required_with=Certificate"`
	// Authority is a PEM file with the certificates that sign the other side's; it makes authentication mutual.
	Authority string `toml:"authority"`
	// ServerName is the DNS name that the certificates of servers must carry; empty means "wigeonshift". Listeners ignore it.
	ServerName string `toml:"serverName"`
}

// Enabled tells whether any file is set.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Authority != ""
}
