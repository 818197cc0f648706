package wigeondev

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/modules/wigeonsetting"

	"github.com/samber/oops"
)

// Names of the site's services.
const (
	AssistantService = "assistant"
	RecordsService   = "records"
)

// OperatorKey is the key that operators of the site send.
const OperatorKey = "dev.rail"

// OperatorEntry returns the settings entry by which the site's nodes accept OperatorKey.
func OperatorEntry() wigeonsetting.OperatorKey {
	name, secret, _ := strings.Cut(OperatorKey, ".")
	stored := wigeonconfig.NewAPIKey(secret)
	return wigeonsetting.OperatorKey{Name: name, Role: "editor", Salt: stored.Salt, Hash: stored.Hash}
}

// configurationPatch returns the JSON merge patch that creates the site's configuration from an empty one.
func (s *Site) configurationPatch() ([]byte, error) {
	id, secret, _ := strings.Cut(CallerKey, ".")
	product := wigeonshift.Product{
		Tiers: siteTiers(),
		Organisations: map[string]wigeonshift.Organisation{
			Organisation: {
				Tiers:   []string{"standard", "urgent", "interactive", "background"},
				APIKeys: map[string]wigeonshift.APIKey{id: wigeonconfig.NewAPIKey(secret)},
			},
		},
		Services: map[string]wigeonshift.Service{
			AssistantService: s.assistantService(),
			RecordsService:   s.recordsService(),
		},
	}
	document, err := json.Marshal(map[string]any{"products": map[string]any{Product: product}})
	if err != nil {
		return nil, oops.In("dev").Wrap(err)
	}
	return document, nil
}

// siteTiers returns four tiers; a lower priority has a longer default deadline.
func siteTiers() map[string]wigeonshift.Tier {
	milliseconds := func(d time.Duration) int64 { return d.Milliseconds() }
	return map[string]wigeonshift.Tier{
		"urgent":      {Rank: 0, DefaultDeadlineMS: milliseconds(10 * time.Second)},
		"interactive": {Rank: 1, DefaultDeadlineMS: milliseconds(20 * time.Second)},
		"standard":    {Rank: 2, DefaultDeadlineMS: milliseconds(time.Minute)},
		"background":  {Rank: 3, DefaultDeadlineMS: milliseconds(10 * time.Minute)},
	}
}

// assistantService returns the configuration of the model service, with the site's engines as endpoints.
func (s *Site) assistantService() wigeonshift.Service {
	endpoints := map[string]wigeonshift.EndpointSpec{}
	for i, e := range s.Engines {
		endpoints[fmt.Sprintf("engine-%d", i)] = wigeonshift.EndpointSpec{
			Address: e.Address(), Region: Region, Zone: "a", State: wigeonshift.EndpointActive,
			Generation: fmt.Sprintf("g%d", i), Models: []string{Model}, CanPause: true,
		}
	}
	return wigeonshift.Service{Kind: wigeonshift.ServiceModel, Models: []string{Model}, Endpoints: endpoints}
}

// recordsService returns the configuration of the plain service, with the site's plain services as endpoints.
func (s *Site) recordsService() wigeonshift.Service {
	endpoints := map[string]wigeonshift.EndpointSpec{}
	for i, p := range s.Services {
		endpoints[fmt.Sprintf("records-%d", i)] = wigeonshift.EndpointSpec{
			Address: p.Address(), Region: Region, Zone: "a", State: wigeonshift.EndpointActive,
		}
	}
	return wigeonshift.Service{
		Kind: wigeonshift.ServicePlain, NonIdempotentMethods: []string{"POST", "PUT", "DELETE"}, Endpoints: endpoints,
	}
}
