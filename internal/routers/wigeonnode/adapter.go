package wigeonnode

import (
	"context"
	"net"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeoncaller"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/services/wigeonentry"
)

// platformBurst is the burst size of the rate limits for platform calls.
const platformBurst = 100

// platformURL returns the base URL of the platform's services.
func platformURL(s wigeonsetting.Platform) string {
	if s.TLS.Enabled() {
		return "https://" + s.Address
	}
	return "http://" + s.Address
}

// listenTCP listens on a TCP address.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// entrySettings returns the settings of the entry service.
func (n *Node) entrySettings() wigeonentry.Settings {
	s := wigeonentry.DefaultSettings()
	s.MaxConcurrent = n.settings.Caller.MaxConcurrent
	s.MaxBodyBytes = n.settings.Caller.MaxBodyBytes
	s.FirstTokenTimeout = n.settings.Endpoint.FirstTokenTimeout.Duration
	s.StreamTimeout = n.settings.Endpoint.ChunkTimeout.Duration
	return s
}

// callerSettings returns the settings of the caller API.
func (n *Node) callerSettings() wigeoncaller.Settings {
	c := n.settings.Caller
	s := wigeoncaller.DefaultSettings()
	s.MaxBodyBytes = c.MaxBodyBytes
	s.MaxHeaderBytes = c.MaxHeaderBytes
	s.ReadTimeout = c.ReadTimeout.Duration
	s.WriteTimeout = c.WriteTimeout.Duration
	s.IdleTimeout = c.IdleTimeout.Duration
	return s
}

// analyzePrompt estimates the token count of a prompt and computes its prefix hashes and fingerprint.
func analyzePrompt(g wigeonentry.Generate) wigeonentry.Analysis {
	return wigeonentry.Analysis{
		Tokens:      max(1, wigeonprompt.Tokens(g.Prompt)),
		Prefix:      wigeonprompt.PrefixHashes(g.Model, g.Prompt),
		Fingerprint: wigeonprompt.Fingerprint(g.Model, g.Prompt),
	}
}

// assembleRouters creates the servers for callers and operators.
func (n *Node) assembleRouters(repository *wigeonconfig.Repository) {
	keyring := wigeonconfig.NewKeyring(n.configuration)
	authenticate := func(_ context.Context, bearer string) (string, string, error) {
		caller, _, err := keyring.Authenticate(bearer)
		return caller.Product, caller.Organisation, err
	}
	n.caller = wigeoncaller.New(n.entry, authenticate,
		wigeoncaller.WithSettings(n.callerSettings()), wigeoncaller.WithLogger(n.log),
		wigeoncaller.WithReadiness(n.ready))
	n.operator = wigeonoperator.New(repository, wigeonoperator.Instance{
		Current: n.configuration.Current, Accept: n.configuration.ActivateWritten, Versions: n.configuration.QueryVersions, Status: n.Status,
	}, wigeonoperator.WithKeys(operatorKeys(n.settings.Operator.Keys)...), wigeonoperator.WithLogger(n.log),
		wigeonoperator.WithScope(n.metrics.Scope()))
}

// Status returns the status of this instance for operators.
func (n *Node) Status(_ context.Context) wigeonshift.InstanceStatus {
	s := wigeonshift.InstanceStatus{
		Instance: n.instance,
		Ready:    n.ready(),
		Draining: n.draining.Load(),
		Requests: n.entry.InFlight(),
		Shards:   n.owner.Statuses(),
	}
	if c := n.configuration.Current(); c != nil {
		s.ConfigurationVersion = c.Version
		s.ConfigurationConfirmed = n.configuration.Confirmed()
	}
	return s
}

// ready reports whether the load balancer should send callers to this instance. Before the first patch the instance
// knows no API keys, so it would reject requests that an instance with a newer configuration could serve.
func (n *Node) ready() bool {
	c := n.configuration.Current()
	return !n.draining.Load() && n.configuration.Ready() && c != nil && c.Version > 0
}

// operatorKeys converts the operator keys in the settings to those of the operator API.
func operatorKeys(settings []wigeonsetting.OperatorKey) []wigeonoperator.Key {
	keys := make([]wigeonoperator.Key, 0, len(settings))
	for _, k := range settings {
		keys = append(keys, wigeonoperator.Key{
			Name: k.Name, Role: wigeonoperator.Role(k.Role), Stored: wigeonshift.APIKey{Salt: k.Salt, Hash: k.Hash},
		})
	}
	return keys
}

// isClaimSweeper reports whether this instance removes expired claims. All instances rank the live instances in the same
// way, so that only one of them does it.
func (n *Node) isClaimSweeper() bool {
	ranked := wigeonshift.RankCandidates("claim sweep", n.members.Live())
	return len(ranked) > 0 && ranked[0].ID == n.instance.ID
}
