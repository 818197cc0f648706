package wigeonengine

import "time"

// Generations maps four hardware generations to their speeds; g1 is the newest.
var Generations = map[string]Speed{
	"g1": {PrefillTokensPerSecond: 14000, DecodeStep: 8 * time.Millisecond, BatchSlowdown: 0.02, MaxBatch: 48, PrefillChunk: 1024},
	"g2": DefaultSpeed,
	"g3": {PrefillTokensPerSecond: 5000, DecodeStep: 18 * time.Millisecond, BatchSlowdown: 0.04, MaxBatch: 24, PrefillChunk: 384},
	"g4": {PrefillTokensPerSecond: 3000, DecodeStep: 26 * time.Millisecond, BatchSlowdown: 0.05, MaxBatch: 16, PrefillChunk: 256},
}

// GenerationSpeed returns the speed of a hardware generation, or DefaultSpeed if the generation is unknown.
func GenerationSpeed(generation string) Speed {
	if speed, ok := Generations[generation]; ok {
		return speed
	}
	return DefaultSpeed
}
