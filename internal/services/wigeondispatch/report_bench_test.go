package wigeondispatch

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"
)

// benchmarkFleet returns the state of an instance of a fleet with a service of model engines, one of plain endpoints and 19
// organisations.
func benchmarkFleet(instances int) (*State, []wigeonshift.Instance) {
	s := New(Settings{Instance: "instance-0", Zone: "zone-0", QuotaOverage: 0.1, QuotaSlack: 140_000, QuotaWindow: 8 * time.Second})
	c := &wigeonshift.RoutingConfiguration{Version: 1, Services: []wigeonshift.RoutedService{
		{Name: "model", Engine: &wigeonshift.EngineProfile{Slots: 6, CacheTokens: 459_000, EventTokens: 7}}, {Name: "plain"},
	}}
	for i := range 19 {
		c.Organisations = append(c.Organisations, wigeonshift.RoutedOrganisation{
			Name: fmt.Sprintf("organisation-%d", i), UnitsPerSecond: 100_000, Burst: 100_000, CountsTokens: true,
		})
	}
	var records []wigeonshift.EndpointRecord
	for i := range instances * 3 / 5 {
		id := fmt.Sprintf("engine-%03d", i)
		records = append(records, wigeonshift.EndpointRecord{ID: id, Service: "model", Address: id, Slots: 6, Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	for i := range 6 {
		id := fmt.Sprintf("plain-%d", i)
		records = append(records, wigeonshift.EndpointRecord{ID: id, Service: "plain", Address: id, Slots: 6, Zone: fmt.Sprintf("zone-%d", i)})
	}
	var all []wigeonshift.Instance
	for i := range instances {
		name := fmt.Sprintf("instance-%d", i)
		all = append(all, wigeonshift.Instance{ID: name, Address: name, Zone: fmt.Sprintf("zone-%d", i%6)})
	}
	s.Reduce(ConfigurationChanged{Configuration: c})
	s.Reduce(EndpointsListed{Records: records})
	s.Reduce(InstancesListed{Instances: all, Complete: true})
	return s, all
}

// benchmarkReport is the report of an instance that runs a few requests of all organisations.
func benchmarkReport(i int, used float64) wigeonshift.LoadNotice {
	n := wigeonshift.LoadNotice{Services: []wigeonshift.ServiceWait{{Service: "model", QueuedByLevel: []int{0, 0, 1}}}}
	for k := range 3 {
		n.Endpoints = append(n.Endpoints, wigeonshift.EndpointLoad{Endpoint: fmt.Sprintf("engine-%03d", (i+k)%100), Running: 1, PrefillTokens: 900, ReservedTokens: 1500})
	}
	for k := range 19 {
		n.Organisations = append(n.Organisations, wigeonshift.OrganisationUse{Organisation: fmt.Sprintf("organisation-%d", k), Units: used, RemainingUnits: 50_000})
	}
	return n
}

// BenchmarkPeerReports measures the reports that an instance gets in a second: from the other members of its group at each
// change, from all others every two seconds.
func BenchmarkPeerReports(b *testing.B) {
	for _, instances := range []int{23, 83, 195, 1500} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			s, all := benchmarkFleet(instances)
			at := time.Duration(0)
			for second := 0; b.Loop(); second++ {
				for i := 1; i < len(all); i++ {
					reports := 1
					if s.groups.SameGroup(all[i].ID, all[0].ID) {
						reports = 20
					} else if (i+second)%2 == 0 {
						continue
					}
					for range reports {
						at += time.Second / time.Duration(len(all)+20*groupSize)
						s.Reduce(PeerReported{At: at, Peer: all[i].ID, Load: benchmarkReport(i, 100*at.Seconds())})
					}
				}
				for range 20 {
					s.Reduce(Tick{At: at})
				}
			}
		})
	}
}
