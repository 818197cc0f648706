package wigeontrace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonshift"
)

const (
	// traceDuration is the time in which a trace's requests arrive.
	traceDuration = 90 * time.Second
	// traceDrainTimeout is the DrainTimeout of all scenarios.
	traceDrainTimeout = 5 * time.Minute
)

// modelName is the model that all engines hold and all requests ask for.
const modelName = "assistant"

// generations are the engine types of the scenarios, from the slowest to the fastest.
var generations = []Engine{
	{Generation: "g1", PrefillTokensPerSecond: 4000, BaseStepTime: 22 * time.Millisecond, StepTimePerStream: 500 * time.Microsecond, MaxBatchSize: 12, PrefillChunkTokens: 256, CacheBlocks: 1500},
	{Generation: "g2", PrefillTokensPerSecond: 7000, BaseStepTime: 18 * time.Millisecond, StepTimePerStream: 400 * time.Microsecond, MaxBatchSize: 16, PrefillChunkTokens: 384, CacheBlocks: 2000},
	{Generation: "g3", PrefillTokensPerSecond: 12000, BaseStepTime: 14 * time.Millisecond, StepTimePerStream: 300 * time.Microsecond, MaxBatchSize: 20, PrefillChunkTokens: 512, CacheBlocks: 3000},
	{Generation: "g4", PrefillTokensPerSecond: 20000, BaseStepTime: 10 * time.Millisecond, StepTimePerStream: 250 * time.Microsecond, MaxBatchSize: 24, PrefillChunkTokens: 768, CacheBlocks: 4000},
}

// newEngines returns n engines and assigns them the generations in turn.
func newEngines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = generations[i%len(generations)]
		list[i].Name = fmt.Sprintf("e%02d", i)
		list[i].CanPause = true
		list[i].Models = []string{modelName}
	}
	return list
}

// newRepairWorkload returns the workload of the product for repair lofts. From tier 0 down it has repair plans that are
// due before the tide, interactive questions, ordinary plans and background tagging of photos.
func newRepairWorkload(random *rand.Rand) *workload {
	return &workload{
		product: "lofts", engines: newEngines(12), random: random,
		organisations:       []string{"champerico", "sipacate", "iztapa", "monterrico", "tulate"},
		organisationWeights: []float64{0.4, 0.25, 0.15, 0.12, 0.08},
		kinds: []requestKind{
			{rank: 0, loadShare: 0.25, sharedTokens: [2]int{1024, 1024}, ownTokens: [2]int{300, 5000}, outputTokens: [2]int{300, 700}, deadline: 45 * time.Second, model: modelName, expectedCachedShare: 0.9},
			{rank: 1, loadShare: 0.2, interactive: true, sharedTokens: [2]int{256, 256}, ownTokens: [2]int{20, 400}, outputTokens: [2]int{30, 160}, deadline: 12 * time.Second, model: modelName, expectedCachedShare: 0.9},
			{rank: 2, loadShare: 0.35, sharedTokens: [2]int{1024, 1024}, ownTokens: [2]int{300, 5000}, outputTokens: [2]int{300, 900}, deadline: 90 * time.Second, model: modelName, expectedCachedShare: 0.9},
			{rank: 3, loadShare: 0.2, sharedTokens: [2]int{256, 256}, ownTokens: [2]int{400, 700}, outputTokens: [2]int{20, 60}, deadline: 120 * time.Second, model: modelName, expectedCachedShare: 0.9},
		},
	}
}

// newMigrationWorkload returns the workload of the product for schema migration. From tier 0 down it has verdicts for
// bank windows, interactive questions, migration scripts and background reviews. The last two have long schemas as
// prefixes, which many requests share.
func newMigrationWorkload(random *rand.Rand) *workload {
	schemaTokens := [2]int{6000, 24000}
	return &workload{
		product: "migration", engines: newEngines(9), random: random,
		organisations:       []string{"miraflores", "surquillo", "sanisidro", "barranco", "lince"},
		organisationWeights: []float64{0.4, 0.25, 0.15, 0.12, 0.08},
		kinds: []requestKind{
			{rank: 0, loadShare: 0.15, interactive: true, sharedTokens: [2]int{256, 256}, ownTokens: [2]int{30, 500}, outputTokens: [2]int{20, 80}, deadline: 10 * time.Second, model: modelName, expectedCachedShare: 0.9},
			{rank: 1, loadShare: 0.15, interactive: true, sharedTokens: [2]int{256, 256}, ownTokens: [2]int{30, 400}, outputTokens: [2]int{40, 160}, deadline: 15 * time.Second, model: modelName, expectedCachedShare: 0.9},
			{rank: 2, loadShare: 0.4, sharedTokens: schemaTokens, ownTokens: [2]int{200, 800}, outputTokens: [2]int{300, 800}, deadline: 120 * time.Second, subjectCount: 30, model: modelName, expectedCachedShare: 0.85},
			{rank: 3, loadShare: 0.3, sharedTokens: schemaTokens, ownTokens: [2]int{200, 800}, outputTokens: [2]int{300, 1000}, deadline: 240 * time.Second, subjectCount: 30, model: modelName, expectedCachedShare: 0.85},
		},
	}
}

// ScenarioNames lists the names of the scenarios.
var ScenarioNames = []string{
	"institutoDay", "asociacionDay", "seasonBurst", "bankWindow", "straggler", "crash", "poison", "staleLoad",
	"cacheEventsLost", "overload", "sharedSchemas",
}

// NewScenario generates the named scenario from a seed. ok is false if the name is unknown.
func NewScenario(name string, seed uint64) (sc *Scenario, ok bool) {
	index := slices.Index(ScenarioNames, name)
	if index < 0 {
		return nil, false
	}
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	sc = &Scenario{
		Name: name, Seed: seed, LoadLagMin: time.Second, LoadLagMax: 5 * time.Second,
		CacheLagMin: 500 * time.Millisecond, CacheLagMax: 2 * time.Second, CacheLossRate: 0.02, DrainTimeout: traceDrainTimeout,
	}
	if slices.Contains([]string{"asociacionDay", "bankWindow", "crash", "poison", "cacheEventsLost", "sharedSchemas"}, name) {
		sc.build(newMigrationWorkload(random))
	} else {
		sc.build(newRepairWorkload(random))
	}
	return sc, true
}

// build sets the scenario's engines, load, faults and requests from the product's workload.
func (sc *Scenario) build(w *workload) {
	load, rateWindows := 0.5, map[wigeonshift.TierRank][]rateWindow{}
	switch sc.Name {
	case "seasonBurst":
		for rank := range wigeonshift.TierRank(4) {
			rateWindows[rank] = []rateWindow{{from: 30 * time.Second, to: 50 * time.Second, factor: 3.2}}
		}
	case "bankWindow":
		load = 0.9
		w.kinds[0].loadShare, w.kinds[1].loadShare, w.kinds[2].loadShare, w.kinds[3].loadShare = 0.04, 0.06, 0.2, 0.7
		rateWindows[0] = []rateWindow{{from: 30 * time.Second, to: 70 * time.Second, factor: 12}}
	case "straggler":
		load = 0.6
		sc.Faults = []Fault{
			{At: 30 * time.Second, EngineIndex: 3, Kind: FaultSlow, SlowdownFactor: 10},
			{At: 70 * time.Second, EngineIndex: 3, Kind: FaultSlow, SlowdownFactor: 1},
		}
	case "crash":
		load, sc.HasCrashes = 0.6, true
		sc.Faults = []Fault{{At: 30 * time.Second, EngineIndex: 3, Kind: FaultCrash, RestartDelay: 20 * time.Second}}
	case "poison":
		sc.HasCrashes = true
	case "staleLoad":
		load = 0.75
		sc.LoadLagMin, sc.LoadLagMax = 5*time.Second, 5*time.Second
	case "cacheEventsLost":
		load, sc.CacheLossRate = 0.6, 0.4
	case "overload":
		load = 2
		w.kinds[0].loadShare, w.kinds[1].loadShare, w.kinds[2].loadShare, w.kinds[3].loadShare = 0.25, 0.2, 0.35, 0.2
	case "sharedSchemas":
		load = 0.7
		w.kinds[2].subjectCount, w.kinds[3].subjectCount = 60, 60
	}
	sc.Engines, sc.Load, sc.TopTierLoad = w.engines, load, load*w.kinds[0].loadShare
	sc.Requests = w.drawRequests(load, traceDuration, rateWindows)
	if sc.Name == "poison" {
		sc.addPoisonRequests()
	}
}

// addPoisonRequests adds a request that crashes the engine that runs it. The caller repeats it every four seconds with
// the same fingerprint.
func (sc *Scenario) addPoisonRequests() {
	const requestCount = 8
	for i := range requestCount {
		sc.Requests = append(sc.Requests, Request{
			ID: wigeonshift.RequestID(fmt.Sprintf("poison%d", i)), Arrival: 20*time.Second + time.Duration(i)*4*time.Second,
			Organisation: "lince", Rank: 2, Model: modelName, PromptTokens: 900, OutputTokens: 200, MaxTokens: 400,
			Deadline: time.Minute, Fingerprint: 42, Poison: true, Prefix: blockHashes("poison", 0, 14),
		})
	}
	slices.SortStableFunc(sc.Requests, func(a, b Request) int { return int(a.Arrival - b.Arrival) })
}
