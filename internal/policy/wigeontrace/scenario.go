package wigeontrace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonshift"
)

// Lengths of the traces.
const (
	traceLength = 90 * time.Second
	traceSlack  = 5 * time.Minute
)

// model is the model of all scenarios but the one about shifting demand.
const model = "assistant"

// generations are the four generations of engines.
var generations = []Engine{
	{Generation: "g1", PrefillRate: 4000, StepBase: 22 * time.Millisecond, StepPerStream: 500 * time.Microsecond, Batch: 12, ChunkTokens: 256, CacheBlocks: 1500},
	{Generation: "g2", PrefillRate: 7000, StepBase: 18 * time.Millisecond, StepPerStream: 400 * time.Microsecond, Batch: 16, ChunkTokens: 384, CacheBlocks: 2000},
	{Generation: "g3", PrefillRate: 12000, StepBase: 14 * time.Millisecond, StepPerStream: 300 * time.Microsecond, Batch: 20, ChunkTokens: 512, CacheBlocks: 3000},
	{Generation: "g4", PrefillRate: 20000, StepBase: 10 * time.Millisecond, StepPerStream: 250 * time.Microsecond, Batch: 24, ChunkTokens: 768, CacheBlocks: 4000},
}

// engines returns a number of engines of all generations in turn.
func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = generations[i%len(generations)]
		list[i].Name = fmt.Sprintf("e%02d", i)
		list[i].CanPause = true
		list[i].Models = []string{model}
	}
	return list
}

// repairWorkload returns the workload of the repair lofts: plans before the tide, quick questions, ordinary plans and
// photo tags in the background.
func repairWorkload(random *rand.Rand) *workload {
	return &workload{
		product: "lofts", engines: engines(12), random: random,
		organisations: []string{"champerico", "sipacate", "iztapa", "monterrico", "tulate"},
		weights:       []float64{0.4, 0.25, 0.15, 0.12, 0.08},
		kinds: []kind{
			{rank: 0, share: 0.25, shared: [2]int{1024, 1024}, own: [2]int{300, 5000}, output: [2]int{300, 700}, deadline: 45 * time.Second, model: model, expectedCached: 0.9},
			{rank: 1, share: 0.2, interactive: true, shared: [2]int{256, 256}, own: [2]int{20, 400}, output: [2]int{30, 160}, deadline: 12 * time.Second, model: model, expectedCached: 0.9},
			{rank: 2, share: 0.35, shared: [2]int{1024, 1024}, own: [2]int{300, 5000}, output: [2]int{300, 900}, deadline: 90 * time.Second, model: model, expectedCached: 0.9},
			{rank: 3, share: 0.2, shared: [2]int{256, 256}, own: [2]int{400, 700}, output: [2]int{20, 60}, deadline: 120 * time.Second, model: model, expectedCached: 0.9},
		},
	}
}

// migrationWorkload returns the workload of schema migration: verdicts for bank windows, quick questions, migration scripts
// and review in the background; schemas are long and shared by many requests.
func migrationWorkload(random *rand.Rand) *workload {
	schema := [2]int{6000, 24000}
	return &workload{
		product: "migration", engines: engines(9), random: random,
		organisations: []string{"miraflores", "surquillo", "sanisidro", "barranco", "lince"},
		weights:       []float64{0.4, 0.25, 0.15, 0.12, 0.08},
		kinds: []kind{
			{rank: 0, share: 0.15, interactive: true, shared: [2]int{256, 256}, own: [2]int{30, 500}, output: [2]int{20, 80}, deadline: 10 * time.Second, model: model, expectedCached: 0.9},
			{rank: 1, share: 0.15, interactive: true, shared: [2]int{256, 256}, own: [2]int{30, 400}, output: [2]int{40, 160}, deadline: 15 * time.Second, model: model, expectedCached: 0.9},
			{rank: 2, share: 0.4, shared: schema, own: [2]int{200, 800}, output: [2]int{300, 800}, deadline: 120 * time.Second, subjects: 30, model: model, expectedCached: 0.85},
			{rank: 3, share: 0.3, shared: schema, own: [2]int{200, 800}, output: [2]int{300, 1000}, deadline: 240 * time.Second, subjects: 30, model: model, expectedCached: 0.85},
		},
	}
}

// Names lists the scenarios.
var Names = []string{
	"institutoDay", "asociacionDay", "seasonBurst", "bankWindow", "straggler", "crash", "poison", "staleLoad",
	"cacheEventsLost", "overload", "sharedSchemas",
}

// New makes the scenario of a name from a seed; ok is false for an unknown name.
func New(name string, seed uint64) (sc *Scenario, ok bool) {
	index := slices.Index(Names, name)
	if index < 0 {
		return nil, false
	}
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	sc = &Scenario{
		Name: name, Seed: seed, LoadLagMin: time.Second, LoadLagMax: 5 * time.Second,
		CacheLagMin: 500 * time.Millisecond, CacheLagMax: 2 * time.Second, CacheLoss: 0.02, Slack: traceSlack,
	}
	if slices.Contains([]string{"asociacionDay", "bankWindow", "crash", "poison", "cacheEventsLost", "sharedSchemas"}, name) {
		sc.build(migrationWorkload(random))
	} else {
		sc.build(repairWorkload(random))
	}
	return sc, true
}

// build fills a scenario from its product's workload.
func (sc *Scenario) build(w *workload) {
	load, windows := 0.5, map[wigeonshift.TierRank][]window{}
	switch sc.Name {
	case "seasonBurst":
		for rank := range wigeonshift.TierRank(4) {
			windows[rank] = []window{{from: 30 * time.Second, to: 50 * time.Second, factor: 3.2}}
		}
	case "bankWindow":
		load = 0.9
		w.kinds[0].share, w.kinds[1].share, w.kinds[2].share, w.kinds[3].share = 0.04, 0.06, 0.2, 0.7
		windows[0] = []window{{from: 30 * time.Second, to: 70 * time.Second, factor: 12}}
	case "straggler":
		load = 0.6
		sc.Faults = []Fault{
			{At: 30 * time.Second, Engine: 3, Kind: FaultSlow, Factor: 10},
			{At: 70 * time.Second, Engine: 3, Kind: FaultSlow, Factor: 1},
		}
	case "crash":
		load, sc.Crashes = 0.6, true
		sc.Faults = []Fault{{At: 30 * time.Second, Engine: 3, Kind: FaultCrash, Restart: 20 * time.Second}}
	case "poison":
		sc.Crashes = true
	case "staleLoad":
		load = 0.75
		sc.LoadLagMin, sc.LoadLagMax = 5*time.Second, 5*time.Second
	case "cacheEventsLost":
		load, sc.CacheLoss = 0.6, 0.4
	case "overload":
		load = 2
		w.kinds[0].share, w.kinds[1].share, w.kinds[2].share, w.kinds[3].share = 0.25, 0.2, 0.35, 0.2
	case "sharedSchemas":
		load = 0.7
		w.kinds[2].subjects, w.kinds[3].subjects = 60, 60
	}
	sc.Engines, sc.Load, sc.TopLoad = w.engines, load, load*w.kinds[0].share
	sc.Requests = w.arrivals(load, traceLength, windows)
	if sc.Name == "poison" {
		sc.addPoison()
	}
}

// addPoison lets one caller send a request that crashes engines, and send it again every few seconds.
func (sc *Scenario) addPoison() {
	const resends = 8
	for i := range resends {
		sc.Requests = append(sc.Requests, Request{
			ID: wigeonshift.RequestID(fmt.Sprintf("poison%d", i)), At: 20*time.Second + time.Duration(i)*4*time.Second,
			Organisation: "lince", Rank: 2, Model: model, PromptTokens: 900, OutputTokens: 200, MaxTokens: 400,
			Deadline: time.Minute, Fingerprint: 42, Poison: true, Prefix: blocks("poison", 0, 14),
		})
	}
	slices.SortStableFunc(sc.Requests, func(a, b Request) int { return int(a.At - b.At) })
}
