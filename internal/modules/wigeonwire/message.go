package wigeonwire

import (
	"wigeonshift"

	"github.com/samber/oops"
)

// Marshal encodes a message as a frame without a length prefix.
func Marshal(m wigeonshift.PeerMessage) ([]byte, error) {
	f, err := FrameOf(m)
	if err != nil {
		return nil, err
	}
	framed, err := EncodeFrame(f)
	if err != nil {
		return nil, err
	}
	prefix := 0
	for framed[prefix] >= 0x80 {
		prefix++
	}
	return framed[prefix+1:], nil
}

// Unmarshal decodes a message that was encoded by Marshal.
func Unmarshal(body []byte) (wigeonshift.PeerMessage, error) {
	f, err := DecodeFrame(body)
	if err != nil {
		return nil, err
	}
	return MessageOf(f)
}

// FrameOf wraps a message in a frame.
func FrameOf(m wigeonshift.PeerMessage) (*Frame, error) {
	switch m := m.(type) {
	case wigeonshift.PermitAsk:
		return &Frame{Body: &Frame_PermitAsk{&PermitAsk{Request: encodePermitRequest(m.Request)}}}, nil
	case wigeonshift.PermitCancel:
		return &Frame{Body: &Frame_PermitCancel{&PermitCancel{Shard: string(m.Shard), Request: string(m.Request)}}}, nil
	case wigeonshift.AttemptNotice:
		return &Frame{Body: &Frame_AttemptNotice{encodeAttemptReport(m.Report)}}, nil
	case wigeonshift.RunningNotice:
		return &Frame{Body: &Frame_RunningNotice{encodeRunningNotice(m)}}, nil
	case wigeonshift.PermitReply:
		reply, err := encodePermitReply(m)
		if err != nil {
			return nil, err
		}
		return &Frame{Body: &Frame_PermitReply{reply}}, nil
	case wigeonshift.NotOwner:
		return &Frame{Body: &Frame_NotOwner{&NotOwner{
			Shard: string(m.Shard), Request: string(m.Request), Owner: EncodeInstance(m.Owner),
		}}}, nil
	case wigeonshift.OwnerAsk:
		return &Frame{Body: &Frame_OwnerAsk{&OwnerAsk{Shard: string(m.Shard)}}}, nil
	case wigeonshift.OwnerNotice:
		return &Frame{Body: &Frame_OwnerNotice{&OwnerNotice{
			Shard: string(m.Shard), Epoch: m.Epoch, Owner: EncodeInstance(m.Owner), Release: m.Release,
		}}}, nil
	case wigeonshift.ShardSummary:
		return &Frame{Body: &Frame_ShardSummary{&ShardSummary{
			Shard: string(m.Shard), Epoch: m.Epoch, LowestRunning: int32(m.LowestPriorityRunning),
			LowestQueued: int32(m.LowestPriorityQueued), FreeSlots: int64(m.FreeSlots),
		}}}, nil
	default:
		return stateFrame(m)
	}
}

// stateFrame wraps messages about the configuration, the endpoint records and the load of instances.
func stateFrame(m wigeonshift.PeerMessage) (*Frame, error) {
	switch m := m.(type) {
	case wigeonshift.ConfigurationPush:
		return &Frame{Body: &Frame_ConfigurationPush{&ConfigurationPush{Changes: encodeChanges(m.Changes)}}}, nil
	case wigeonshift.ConfigurationAsk:
		return &Frame{Body: &Frame_ConfigurationAsk{&ConfigurationAsk{Have: m.Have}}}, nil
	case wigeonshift.EndpointsAsk:
		return &Frame{Body: &Frame_EndpointsAsk{&EndpointsAsk{Have: m.Have}}}, nil
	case wigeonshift.EndpointsSnapshot:
		return &Frame{Body: &Frame_EndpointsSnapshot{encodeEndpointsSnapshot(m)}}, nil
	case wigeonshift.ConfigurationSnapshot:
		return &Frame{Body: &Frame_ConfigurationSnapshot{&ConfigurationSnapshot{
			Version: m.Version, Document: m.Document,
		}}}, nil
	case wigeonshift.LoadNotice:
		return &Frame{Body: &Frame_LoadNotice{encodeLoadNotice(m)}}, nil
	case wigeonshift.ConfigurationHave:
		return &Frame{Body: &Frame_ConfigurationHave{&ConfigurationHave{Version: m.Version}}}, nil
	default:
		return nil, oops.In("wire").Errorf("unknown peer message %T", m)
	}
}

// MessageOf returns the message in a frame. It fails with ErrMalformed if the frame has no message or the message is
// incomplete.
func MessageOf(f *Frame) (wigeonshift.PeerMessage, error) {
	switch b := f.Body.(type) {
	case *Frame_PermitAsk:
		if b.PermitAsk.GetRequest() == nil {
			return nil, oops.In("wire").Wrap(ErrMalformed)
		}
		return wigeonshift.PermitAsk{Request: decodePermitRequest(b.PermitAsk.Request)}, nil
	case *Frame_PermitCancel:
		return wigeonshift.PermitCancel{
			Shard:   wigeonshift.ShardID(b.PermitCancel.GetShard()),
			Request: wigeonshift.RequestID(b.PermitCancel.GetRequest()),
		}, nil
	case *Frame_AttemptNotice:
		return wigeonshift.AttemptNotice{Report: decodeAttemptReport(b.AttemptNotice)}, nil
	case *Frame_RunningNotice:
		return decodeRunningNotice(b.RunningNotice)
	case *Frame_PermitReply:
		return decodePermitReply(b.PermitReply)
	case *Frame_NotOwner:
		return wigeonshift.NotOwner{
			Shard:   wigeonshift.ShardID(b.NotOwner.GetShard()),
			Request: wigeonshift.RequestID(b.NotOwner.GetRequest()),
			Owner:   DecodeInstance(b.NotOwner.GetOwner()),
		}, nil
	case *Frame_OwnerAsk:
		return wigeonshift.OwnerAsk{Shard: wigeonshift.ShardID(b.OwnerAsk.GetShard())}, nil
	case *Frame_OwnerNotice:
		return wigeonshift.OwnerNotice{
			Shard: wigeonshift.ShardID(b.OwnerNotice.GetShard()), Epoch: b.OwnerNotice.GetEpoch(),
			Owner: DecodeInstance(b.OwnerNotice.GetOwner()), Release: b.OwnerNotice.GetRelease(),
		}, nil
	case *Frame_ShardSummary:
		return wigeonshift.ShardSummary{
			Shard: wigeonshift.ShardID(b.ShardSummary.GetShard()), Epoch: b.ShardSummary.GetEpoch(),
			LowestPriorityRunning: wigeonshift.TierRank(b.ShardSummary.GetLowestRunning()),
			LowestPriorityQueued:  wigeonshift.TierRank(b.ShardSummary.GetLowestQueued()),
			FreeSlots:             int(b.ShardSummary.GetFreeSlots()),
		}, nil
	default:
		return stateMessage(f)
	}
}

// stateMessage unwraps the messages that stateFrame wraps.
func stateMessage(f *Frame) (wigeonshift.PeerMessage, error) {
	switch b := f.Body.(type) {
	case *Frame_ConfigurationPush:
		return wigeonshift.ConfigurationPush{Changes: decodeChanges(b.ConfigurationPush.GetChanges())}, nil
	case *Frame_ConfigurationAsk:
		return wigeonshift.ConfigurationAsk{Have: b.ConfigurationAsk.GetHave()}, nil
	case *Frame_EndpointsAsk:
		return wigeonshift.EndpointsAsk{Have: b.EndpointsAsk.GetHave()}, nil
	case *Frame_EndpointsSnapshot:
		return decodeEndpointsSnapshot(b.EndpointsSnapshot), nil
	case *Frame_ConfigurationSnapshot:
		return wigeonshift.ConfigurationSnapshot{
			Version: b.ConfigurationSnapshot.GetVersion(), Document: b.ConfigurationSnapshot.GetDocument(),
		}, nil
	case *Frame_LoadNotice:
		return decodeLoadNotice(b.LoadNotice), nil
	case *Frame_ConfigurationHave:
		return wigeonshift.ConfigurationHave{Version: b.ConfigurationHave.GetVersion()}, nil
	default:
		return nil, oops.In("wire").Wrap(ErrMalformed)
	}
}
