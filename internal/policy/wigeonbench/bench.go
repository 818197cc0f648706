package wigeonbench

import (
	"wigeonshift/internal/policy/wigeonbaseline"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// PolicyOwn names the project's own policy.
const PolicyOwn = "wigeonshift"

// Policies lists the measured policies, the own one first.
func Policies() []string {
	return append([]string{PolicyOwn}, wigeonbaseline.Names...)
}

// NewHandler returns a fresh instance of a policy, nil for an unknown name.
func NewHandler(policy string) Handler {
	if policy == PolicyOwn {
		st := &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(shardID)}
		return func(ev wigeonscheduler.Event) []wigeonscheduler.Effect { return wigeonscheduler.Reduce(st, ev) }
	}
	b := wigeonbaseline.New(policy, shardID)
	if b == nil {
		return nil
	}
	return b.Handle
}

// Run plays a scenario under a policy; observe may be nil.
func Run(sc *wigeontrace.Scenario, policy string, handle Handler, observe Observer) Result {
	w := newWorld(sc, handle, observe)
	w.run()
	return w.result(policy)
}

// RunAll plays a scenario under every policy.
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
