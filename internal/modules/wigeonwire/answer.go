package wigeonwire

import (
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// encodePermitReply returns the wire form of a reply. It fails with ErrMalformed if the reply has no answer.
func encodePermitReply(m wigeonshift.PermitReply) (*PermitReply, error) {
	r := &PermitReply{Shard: string(m.Shard), Request: string(m.Request), Epoch: m.Epoch}
	switch a := m.Answer; {
	case a.Grant != nil:
		r.Answer = &PermitReply_Grant{encodePermit(a.Grant)}
	case a.Refuse != nil:
		r.Answer = &PermitReply_Refuse{&Refusal{
			Reason: string(a.Refuse.Reason), State: string(a.Refuse.State), RetryAfterNs: int64(a.Refuse.RetryAfter),
		}}
	case a.Revoke != nil:
		r.Answer = &PermitReply_Revoke{&Revocation{
			Request: string(a.Revoke.Request), Token: string(a.Revoke.Token), Epoch: a.Revoke.Epoch,
			Action: string(a.Revoke.Action),
		}}
	case a.Spill != nil:
		r.Answer = &PermitReply_Spill{string(*a.Spill)}
	default:
		return nil, oops.In("wire").Wrap(ErrMalformed)
	}
	return r, nil
}

func encodePermit(p *wigeonshift.Permit) *Permit {
	return &Permit{
		Request: string(p.Request), Shard: string(p.Shard), Epoch: p.Epoch, Endpoint: p.Endpoint, Address: p.Address,
		Token: string(p.Token), UseBefore: encodeTime(p.ExpiresAt), CachedTokens: int64(p.CachedTokens),
	}
}

// decodePermitReply is the inverse of encodePermitReply.
func decodePermitReply(r *PermitReply) (wigeonshift.PeerMessage, error) {
	m := wigeonshift.PermitReply{
		Shard: wigeonshift.ShardID(r.GetShard()), Request: wigeonshift.RequestID(r.GetRequest()), Epoch: r.GetEpoch(),
	}
	switch a := r.GetAnswer().(type) {
	case *PermitReply_Grant:
		m.Answer.Grant = decodePermit(a.Grant)
	case *PermitReply_Refuse:
		m.Answer.Refuse = &wigeonshift.Refusal{
			Reason:     wigeonshift.RefusalReason(a.Refuse.GetReason()),
			State:      wigeonshift.RunState(a.Refuse.GetState()),
			RetryAfter: time.Duration(a.Refuse.GetRetryAfterNs()),
		}
	case *PermitReply_Revoke:
		m.Answer.Revoke = &wigeonshift.Revocation{
			Request: wigeonshift.RequestID(a.Revoke.GetRequest()), Token: wigeonshift.AttemptToken(a.Revoke.GetToken()),
			Epoch: a.Revoke.GetEpoch(), Action: wigeonshift.RevokeAction(a.Revoke.GetAction()),
		}
	case *PermitReply_Spill:
		shard := wigeonshift.ShardID(a.Spill)
		m.Answer.Spill = &shard
	default:
		return nil, oops.In("wire").Wrap(ErrMalformed)
	}
	return m, nil
}

func decodePermit(p *Permit) *wigeonshift.Permit {
	return &wigeonshift.Permit{
		Request: wigeonshift.RequestID(p.GetRequest()), Shard: wigeonshift.ShardID(p.GetShard()), Epoch: p.GetEpoch(),
		Endpoint: p.GetEndpoint(), Address: p.GetAddress(), Token: wigeonshift.AttemptToken(p.GetToken()),
		ExpiresAt: decodeTime(p.GetUseBefore()), CachedTokens: int(p.GetCachedTokens()),
	}
}
