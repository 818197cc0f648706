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

// platformBurst is the number of platform calls that may be made at once beyond the steady budget.
const platformBurst = 100

// platformURL returns the base address of the platform's services.
func platformURL(s wigeonsetting.Platform) string {
	if s.TLS.Enabled() {
		return "https://" + s.Address
	}
	return "http://" + s.Address
}

// bind listens on a TCP address.
func bind(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// entrySettings returns the limits of accepted requests.
func (n *Node) entrySettings() wigeonentry.Settings {
	s := wigeonentry.DefaultSettings()
	s.MaxConcurrent = n.settings.Caller.MaxConcurrent
	s.MaxBodyBytes = n.settings.Caller.MaxBodyBytes
	s.FirstTokenTimeout = n.settings.Endpoint.FirstTokenTimeout.Duration
	s.StreamTimeout = n.settings.Endpoint.ChunkTimeout.Duration
	return s
}

// callerSettings returns the limits towards callers.
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

// analyze estimates a prompt's length and hashes it.
func analyze(g wigeonentry.Generate) wigeonentry.Analysis {
	return wigeonentry.Analysis{
		Tokens:      max(1, wigeonprompt.Tokens(g.Prompt)),
		Prefix:      wigeonprompt.PrefixHashes(g.Model, g.Prompt),
		Fingerprint: wigeonprompt.Fingerprint(g.Model, g.Prompt),
	}
}

// assembleRouters makes the servers for callers and operators.
func (n *Node) assembleRouters(repository *wigeonconfig.Repository) {
	keyring := wigeonconfig.NewKeyring(n.spread)
	authenticate := func(_ context.Context, bearer string) (string, string, error) {
		caller, _, err := keyring.Authenticate(bearer)
		return caller.Product, caller.Organisation, err
	}
	n.caller = wigeoncaller.New(n.entry, authenticate,
		wigeoncaller.WithSettings(n.callerSettings()), wigeoncaller.WithLogger(n.log),
		wigeoncaller.WithReadiness(n.ready))
	n.operator = wigeonoperator.New(repository, wigeonoperator.Instance{
		Current: n.spread.Current, Accept: n.spread.Accept, Versions: n.spread.Survey, Status: n.Status,
	}, wigeonoperator.WithKeys(operatorKeys(n.settings.Operator.Keys)...), wigeonoperator.WithLogger(n.log),
		wigeonoperator.WithScope(n.metrics.Scope()))
}

// Status tells operators about this instance.
func (n *Node) Status(_ context.Context) wigeonshift.InstanceStatus {
	s := wigeonshift.InstanceStatus{
		Instance: n.self,
		Ready:    n.ready(),
		Draining: n.draining.Load(),
		Requests: n.entry.InFlight(),
		Shards:   n.owner.Statuses(),
	}
	if c := n.spread.Current(); c != nil {
		s.ConfigurationVersion = c.Version
		s.ConfigurationConfirmed = n.spread.Confirmed()
	}
	return s
}

// ready tells whether the balancer should send callers here. Before the first patch no key is known: a request would
// be refused for good that another instance, which knows more, would serve.
func (n *Node) ready() bool {
	c := n.spread.Current()
	return !n.draining.Load() && n.spread.Ready() && c != nil && c.Version > 0
}

// operatorKeys returns the keys of the settings as the operators' API wants them.
func operatorKeys(settings []wigeonsetting.OperatorKey) []wigeonoperator.Key {
	keys := make([]wigeonoperator.Key, 0, len(settings))
	for _, k := range settings {
		keys = append(keys, wigeonoperator.Key{
			Name: k.Name, Role: wigeonoperator.Role(k.Role), Stored: wigeonshift.APIKey{Salt: k.Salt, Hash: k.Hash},
		})
	}
	return keys
}

// sweepsClaims chooses one live instance for the removal of expired claims.
func (n *Node) sweepsClaims() bool {
	ranked := wigeonshift.RankCandidates("claim sweep", n.members.Live())
	return len(ranked) > 0 && ranked[0].ID == n.self.ID
}
