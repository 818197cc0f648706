package wigeonwire

import (
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// EncodeInstance returns the wire form of an instance, nil for the zero instance.
func EncodeInstance(i wigeonshift.Instance) *Instance {
	if i == (wigeonshift.Instance{}) {
		return nil
	}
	return &Instance{Id: i.ID, Address: i.Address, Zone: i.Zone, Region: i.Region, State: string(i.State)}
}

// DecodeInstance is the inverse of EncodeInstance.
func DecodeInstance(i *Instance) wigeonshift.Instance {
	return wigeonshift.Instance{
		ID: i.GetId(), Address: i.GetAddress(), Zone: i.GetZone(), Region: i.GetRegion(),
		State: wigeonshift.InstanceState(i.GetState()),
	}
}

// encodeTime returns a time as nanoseconds since the Unix epoch, 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// decodeTime is the inverse of encodeTime; the result is in UTC.
func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

func encodePermitRequest(r wigeonshift.PermitRequest) *PermitRequest {
	prefix := make([]uint64, len(r.Prefix))
	for i, b := range r.Prefix {
		prefix[i] = uint64(b)
	}
	return &PermitRequest{
		Id: string(r.ID), Shard: string(r.Shard), Product: r.Product, Organisation: r.Organisation, Tier: r.Tier,
		Rank: int32(r.Rank), Model: r.Model, Deadline: encodeTime(r.Deadline), PromptTokens: int64(r.PromptTokens),
		MaxTokens: int64(r.MaxTokens), Prefix: prefix, Fingerprint: uint64(r.Fingerprint),
		NonIdempotent: r.NonIdempotent, Attempt: int64(r.Attempt), Avoid: r.Avoid, Spills: int64(r.SpillCount),
	}
}

func decodePermitRequest(r *PermitRequest) wigeonshift.PermitRequest {
	var prefix []wigeonshift.BlockHash
	for _, b := range r.GetPrefix() {
		prefix = append(prefix, wigeonshift.BlockHash(b))
	}
	return wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID(r.GetId()), Shard: wigeonshift.ShardID(r.GetShard()),
		Product: r.GetProduct(), Organisation: r.GetOrganisation(), Tier: r.GetTier(),
		Rank: wigeonshift.TierRank(r.GetRank()), Model: r.GetModel(), Deadline: decodeTime(r.GetDeadline()),
		PromptTokens: int(r.GetPromptTokens()), MaxTokens: int(r.GetMaxTokens()), Prefix: prefix,
		Fingerprint:   wigeonshift.Fingerprint(r.GetFingerprint()),
		NonIdempotent: r.GetNonIdempotent(), Attempt: int(r.GetAttempt()), Avoid: r.GetAvoid(),
		SpillCount: int(r.GetSpills()),
	}
}

func encodeAttemptReport(r wigeonshift.AttemptReport) *AttemptReport {
	return &AttemptReport{
		Request: string(r.Request), Shard: string(r.Shard), Token: string(r.Token), Endpoint: r.Endpoint,
		State: string(r.State), TokensDone: int64(r.TokensDone), CachedTokens: int64(r.CachedTokens),
		ElapsedNs: int64(r.Elapsed), ConnectRefused: r.ConnectRefused,
	}
}

func decodeAttemptReport(r *AttemptReport) wigeonshift.AttemptReport {
	return wigeonshift.AttemptReport{
		Request: wigeonshift.RequestID(r.GetRequest()), Shard: wigeonshift.ShardID(r.GetShard()),
		Token: wigeonshift.AttemptToken(r.GetToken()), Endpoint: r.GetEndpoint(),
		State: wigeonshift.AttemptState(r.GetState()), TokensDone: int(r.GetTokensDone()),
		CachedTokens: int(r.GetCachedTokens()), Elapsed: time.Duration(r.GetElapsedNs()),
		ConnectRefused: r.GetConnectRefused(),
	}
}

func encodeRunningNotice(m wigeonshift.RunningNotice) *RunningNotice {
	n := &RunningNotice{Shard: string(m.Shard), Epoch: m.Epoch}
	for _, a := range m.Attempts {
		n.Attempts = append(n.Attempts, &RunningAttempt{
			Request: encodePermitRequest(a.Request), Token: string(a.Token), Endpoint: a.Endpoint,
			TokensDone: int64(a.TokensDone), Paused: a.Paused,
		})
	}
	return n
}

// decodeRunningNotice fails with ErrMalformed if an attempt lacks its request.
func decodeRunningNotice(n *RunningNotice) (wigeonshift.PeerMessage, error) {
	m := wigeonshift.RunningNotice{Shard: wigeonshift.ShardID(n.GetShard()), Epoch: n.GetEpoch()}
	for _, a := range n.GetAttempts() {
		if a.GetRequest() == nil {
			return nil, oops.In("wire").Wrap(ErrMalformed)
		}
		m.Attempts = append(m.Attempts, wigeonshift.RunningAttempt{
			Request: decodePermitRequest(a.Request), Token: wigeonshift.AttemptToken(a.GetToken()), Endpoint: a.GetEndpoint(),
			TokensDone: int(a.GetTokensDone()), Paused: a.GetPaused(),
		})
	}
	return m, nil
}

func encodeChanges(changes []wigeonshift.Change) []*Change {
	out := make([]*Change, len(changes))
	for i, c := range changes {
		out[i] = &Change{Version: c.Version, PatchId: c.PatchID, Author: c.Author, At: encodeTime(c.At), Patch: c.Patch}
	}
	return out
}

func decodeChanges(changes []*Change) []wigeonshift.Change {
	var in []wigeonshift.Change
	for _, c := range changes {
		in = append(in, wigeonshift.Change{
			Version: c.GetVersion(), PatchID: c.GetPatchId(), Author: c.GetAuthor(), At: decodeTime(c.GetAt()),
			Patch: c.GetPatch(),
		})
	}
	return in
}
