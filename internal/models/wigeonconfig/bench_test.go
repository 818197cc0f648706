package wigeonconfig_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// largeConfiguration returns a configuration of the size planned for two years ahead, 48,000 organisations with one API key
// each and 7,900 endpoints, and one of the keys.
func largeConfiguration() (*wigeonshift.Configuration, string) {
	c := &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{}}
	presented := ""
	for p := range 4 {
		product := wigeonshift.Product{
			Tiers: map[string]wigeonshift.Tier{}, Organisations: map[string]wigeonshift.Organisation{},
			Services: map[string]wigeonshift.Service{},
		}
		for t := range 4 {
			product.Tiers[fmt.Sprint("tier", t)] = wigeonshift.Tier{Rank: wigeonshift.TierRank(t), DefaultDeadlineMS: 1000}
		}
		for o := range 12_000 {
			id, secret, stored := wigeonconfig.GenerateAPIKey()
			presented = wigeonconfig.FormatAPIKey(id, secret)
			product.Organisations[fmt.Sprintf("organisation%05d", o)] = wigeonshift.Organisation{
				Tiers: []string{"tier0", "tier1"}, Weight: 2, MaxConcurrent: 10, APIKeys: map[string]wigeonshift.APIKey{id: stored},
			}
		}
		service := wigeonshift.Service{Kind: wigeonshift.ServiceModel, Models: []string{"m"}, Endpoints: map[string]wigeonshift.EndpointSpec{}}
		for e := range 7900 / 4 {
			service.Endpoints[fmt.Sprint("engine", e)] = wigeonshift.EndpointSpec{
				Address: fmt.Sprintf("10.%d.%d.%d:80", p, e/250, e%250), Region: "r", Zone: "z", State: wigeonshift.EndpointActive,
			}
		}
		product.Services["assistant"] = service
		c.Products[fmt.Sprint("product", p)] = product
	}
	return c, presented
}

func BenchmarkTargetSize(b *testing.B) {
	before := heapBytes()
	c, presented := largeConfiguration()
	b.Run("heap", func(b *testing.B) {
		for b.Loop() {
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB/configuration")
		runtime.KeepAlive(c)
	})
	document, err := wigeonconfig.Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	operation := func(name string, f func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := f(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	apply := func(patch string) func() error {
		return func() error {
			_, err := wigeonconfig.Apply(c, []byte(patch))
			return err
		}
	}
	operation("apply/organisation", apply(`{"products":{"product1":{"organisations":{"organisation00007":{"weight":3}}}}}`))
	operation("apply/endpoint", apply(`{"products":{"product1":{"services":{"assistant":{"endpoints":{"engine7":{"state":"leaving"}}}}}}}`))
	operation("check", func() error { return wigeonconfig.Check(c) })
	index := wigeonconfig.NewKeyIndex(c)
	operation("keyIndex", func() error { index = wigeonconfig.NewKeyIndex(c); return nil })
	changed, err := wigeonconfig.Apply(c, []byte(`{"products":{"product1":{"organisations":{"organisation00007":{"apiKeys":null}}}}}`))
	if err != nil {
		b.Fatal(err)
	}
	operation("keyIndexUpdate", func() error { index.Update(changed); return nil })
	operation("authenticate", func() error { _, err := index.Authenticate(presented, time.Now()); return err })
	operation("encode", func() error { _, err := wigeonconfig.Encode(c); return err })
	operation("decode", func() error { _, err := wigeonconfig.Decode(document); return err })
	next, err := wigeonconfig.Apply(c, []byte(`{"products":{"product1":{"organisations":{"organisation00007":{"weight":3}}}}}`))
	if err != nil {
		b.Fatal(err)
	}
	operation("diff", func() error { _, err := wigeonconfig.Diff(c, next); return err })
	b.Run("document", func(b *testing.B) {
		for b.Loop() {
		}
		b.ReportMetric(float64(len(document))/(1<<20), "MB/document")
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
