package wigeonwire

import (
	"math"
	"time"

	"wigeonshift"
)

func encodeLoadNotice(m wigeonshift.LoadNotice) *LoadNotice {
	out := &LoadNotice{
		ConfigurationVersion: m.ConfigurationVersion, EndpointsRevision: m.EndpointsRevision, Leaving: m.Leaving,
		QuarantineRevision: m.QuarantineRevision, Misplaced: m.Misplaced,
	}
	for _, e := range m.Endpoints {
		out.Endpoints = append(out.Endpoints, &EndpointLoad{
			Endpoint:       e.Endpoint,
			Running:        encodeCount(e.Running),
			PrefillTokens:  encodeCount(e.PrefillTokens),
			ReservedTokens: encodeCount(e.ReservedTokens),
			Rejections:     encodeCount(e.Rejections),
		})
	}
	for _, o := range m.Organisations {
		out.Organisations = append(out.Organisations, &OrganisationUse{
			Organisation: o.Organisation, Units: o.Units, Level: o.RemainingUnits,
		})
	}
	for _, w := range m.Services {
		service := &ServiceWait{Service: w.Service}
		for _, n := range w.QueuedByLevel {
			service.Waiting = append(service.Waiting, encodeCount(n))
		}
		out.Services = append(out.Services, service)
	}
	for _, r := range m.Reservations {
		out.Reservations = append(out.Reservations, &ReturnReservation{
			Service: r.Service, Caller: uint64(r.Caller), Level: encodeCount(r.Level),
			AgeMs: encodeCount(int(r.Age.Milliseconds())), InMs: encodeCount(int(r.In.Milliseconds())),
		})
	}
	for _, c := range m.Crashes {
		out.Crashes = append(out.Crashes, &Crash{
			Fingerprint: uint64(c.Fingerprint), Endpoint: c.Endpoint, AtMs: c.At.UnixMilli(), MidRun: c.MidRun,
			Content: uint64(c.Shared.Content), Query: uint64(c.Shared.Query), Headers: uint64(c.Shared.Headers),
			Features: encodeFingerprints(c.Features),
		})
	}
	for _, a := range m.Answers {
		out.Answers = append(out.Answers, &FeatureAnswer{Feature: uint64(a.Feature), AtMs: a.At.UnixMilli()})
	}
	for _, l := range m.Limits {
		out.Limits = append(out.Limits, &EndpointLimitUse{
			Endpoint: l.Endpoint, StartedAtMs: l.StartedAtMillis, RequestsPerSecond: l.RequestsPerSecond, Ended: l.Ended,
			Generation: l.Generation, Sent: l.Sent,
		})
	}
	return out
}

func decodeLoadNotice(m *LoadNotice) wigeonshift.LoadNotice {
	out := wigeonshift.LoadNotice{
		ConfigurationVersion: m.GetConfigurationVersion(), EndpointsRevision: m.GetEndpointsRevision(),
		Leaving: m.GetLeaving(), QuarantineRevision: m.GetQuarantineRevision(), Misplaced: m.GetMisplaced(),
	}
	for _, e := range m.GetEndpoints() {
		out.Endpoints = append(out.Endpoints, wigeonshift.EndpointLoad{
			Endpoint:       e.GetEndpoint(),
			Running:        int(e.GetRunning()),
			PrefillTokens:  int(e.GetPrefillTokens()),
			ReservedTokens: int(e.GetReservedTokens()),
			Rejections:     int(e.GetRejections()),
		})
	}
	for _, o := range m.GetOrganisations() {
		out.Organisations = append(out.Organisations, wigeonshift.OrganisationUse{
			Organisation: o.GetOrganisation(), Units: o.GetUnits(), RemainingUnits: o.GetLevel(),
		})
	}
	for _, w := range m.GetServices() {
		service := wigeonshift.ServiceWait{Service: w.GetService()}
		for _, n := range w.GetWaiting() {
			service.QueuedByLevel = append(service.QueuedByLevel, int(n))
		}
		out.Services = append(out.Services, service)
	}
	for _, r := range m.GetReservations() {
		out.Reservations = append(out.Reservations, wigeonshift.ReturnReservation{
			Service: r.GetService(), Caller: wigeonshift.Fingerprint(r.GetCaller()), Level: int(r.GetLevel()),
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond, In: time.Duration(r.GetInMs()) * time.Millisecond,
		})
	}
	for _, c := range m.GetCrashes() {
		out.Crashes = append(out.Crashes, wigeonshift.Crash{
			Fingerprint: wigeonshift.Fingerprint(c.GetFingerprint()),
			Endpoint:    c.GetEndpoint(),
			MidRun:      c.GetMidRun(),
			At:          time.UnixMilli(c.GetAtMs()),
			Shared: wigeonshift.SharedFingerprints{
				Content: wigeonshift.Fingerprint(c.GetContent()),
				Query:   wigeonshift.Fingerprint(c.GetQuery()),
				Headers: wigeonshift.Fingerprint(c.GetHeaders()),
			},
			Features: decodeFingerprints(c.GetFeatures()),
		})
	}
	for _, a := range m.GetAnswers() {
		out.Answers = append(out.Answers, wigeonshift.FeatureAnswer{
			Feature: wigeonshift.Fingerprint(a.GetFeature()), At: time.UnixMilli(a.GetAtMs()),
		})
	}
	for _, l := range m.GetLimits() {
		out.Limits = append(out.Limits, wigeonshift.EndpointLimitUse{
			Endpoint: l.GetEndpoint(), StartedAtMillis: l.GetStartedAtMs(), RequestsPerSecond: l.GetRequestsPerSecond(), Ended: l.GetEnded(),
			Generation: l.GetGeneration(), Sent: l.GetSent(),
		})
	}
	return out
}

func encodeFingerprints(fingerprints []wigeonshift.Fingerprint) []uint64 {
	var out []uint64
	for _, f := range fingerprints {
		out = append(out, uint64(f))
	}
	return out
}

func decodeFingerprints(fingerprints []uint64) []wigeonshift.Fingerprint {
	var out []wigeonshift.Fingerprint
	for _, f := range fingerprints {
		out = append(out, wigeonshift.Fingerprint(f))
	}
	return out
}

// encodeCount encodes a count and clamps it to the range of uint32.
func encodeCount(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32)) //nolint:gosec // The value is clamped to the range.
}

func encodeEndpointsSnapshot(m wigeonshift.EndpointsSnapshot) *EndpointsSnapshot {
	out := &EndpointsSnapshot{Revision: m.Revision}
	for _, r := range m.Rows {
		out.Rows = append(out.Rows, &EndpointRow{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	for _, i := range m.Instances {
		out.Instances = append(out.Instances, EncodeInstance(i))
	}
	return out
}

func decodeEndpointsSnapshot(m *EndpointsSnapshot) wigeonshift.EndpointsSnapshot {
	out := wigeonshift.EndpointsSnapshot{Revision: m.GetRevision()}
	for _, r := range m.GetRows() {
		out.Rows = append(out.Rows, wigeonshift.TableRow{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()})
	}
	for _, i := range m.GetInstances() {
		out.Instances = append(out.Instances, DecodeInstance(i))
	}
	return out
}
