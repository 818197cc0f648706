package wigeonbench

import (
	"wigeonshift/internal/policy/wigeonbaseline"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// PolicyWigeonshift is the policy of the scheduler under test.
const PolicyWigeonshift = "wigeonshift"

// Policies returns the names of all policies: PolicyWigeonshift and then the baselines.
func Policies() []string {
	return append([]string{PolicyWigeonshift}, wigeonbaseline.Names...)
}

// NewHandler returns a new instance of the named policy, or nil if the name is unknown.
func NewHandler(policy string) Handler {
	if policy == PolicyWigeonshift {
		st := &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(shardID)}
		return func(ev wigeonscheduler.Event) []wigeonscheduler.Effect { return wigeonscheduler.Reduce(st, ev) }
	}
	baseline := wigeonbaseline.New(policy, shardID)
	if baseline == nil {
		return nil
	}
	return baseline.Handle
}

// Run simulates a scenario with the policy that handle implements. observe may be nil.
func Run(sc *wigeontrace.Scenario, policy string, handle Handler, observe Observer) Result {
	s := newSimulation(sc, handle, observe)
	s.run()
	return s.buildResult(policy)
}

// RunAll simulates the named scenario with every policy. It returns nil if the name is unknown.
func RunAll(name string, seed uint64) []Result {
	var results []Result
	for _, policy := range Policies() {
		sc, ok := wigeontrace.NewScenario(name, seed)
		if !ok {
			return nil
		}
		results = append(results, Run(sc, policy, NewHandler(policy), nil))
	}
	return results
}
