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

// OperatorKey is the key that operators of the site present.
const OperatorKey = "dev.rail"

// OperatorEntry returns the operator's entry for the settings of the site's nodes.
func OperatorEntry() wigeonsetting.OperatorKey {
	name, secret, _ := strings.Cut(OperatorKey, ".")
	stored := wigeonconfig.NewAPIKey(secret)
	return wigeonsetting.OperatorKey{Name: name, Role: "editor", Salt: stored.Salt, Hash: stored.Hash}
}

// patch returns the merge patch that makes the site's configuration out of nothing.
func (s *Site) patch() ([]byte, error) {
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
			AssistantService: s.assistant(),
			RecordsService:   s.records(),
		},
	}
	document, err := json.Marshal(map[string]any{"products": map[string]any{Product: product}})
	if err != nil {
		return nil, oops.In("dev").Wrap(err)
	}
	return document, nil
}

// siteTiers returns four tiers with deadlines to match.
func siteTiers() map[string]wigeonshift.Tier {
	deadline := func(d time.Duration) int64 { return d.Milliseconds() }
	return map[string]wigeonshift.Tier{
		"urgent":      {Rank: 0, DefaultDeadlineMS: deadline(10 * time.Second)},
		"interactive": {Rank: 1, DefaultDeadlineMS: deadline(20 * time.Second)},
		"standard":    {Rank: 2, DefaultDeadlineMS: deadline(time.Minute)},
		"background":  {Rank: 3, DefaultDeadlineMS: deadline(10 * time.Minute)},
	}
}

// assistant describes the model engines.
func (s *Site) assistant() wigeonshift.Service {
	endpoints := map[string]wigeonshift.EndpointSpec{}
	for i, e := range s.Engines {
		endpoints[fmt.Sprintf("engine-%d", i)] = wigeonshift.EndpointSpec{
			Address: e.Address(), Region: Region, Zone: "a", State: wigeonshift.EndpointActive,
			Generation: fmt.Sprintf("g%d", i), Models: []string{Model}, CanPause: true,
		}
	}
	return wigeonshift.Service{Kind: wigeonshift.ServiceModel, Models: []string{Model}, Endpoints: endpoints}
}

// records describes the plain services.
func (s *Site) records() wigeonshift.Service {
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
