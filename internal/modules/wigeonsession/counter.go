package wigeonsession

import (
	"wigeonshift"

	"github.com/uber-go/tally/v4"
)

// kindNames lists the message kinds as they appear in metric tags; heartbeats and handshakes count as control.
var kindNames = []string{
	"control", "permitAsk", "permitCancel", "attemptNotice", "runningNotice", "permitReply", "notOwner",
	"ownerNotice", "shardSummary", "configurationPush", "configurationAsk", "configurationSnapshot",
	"configurationHave", "ownerAsk", "loadNotice", "endpointsAsk", "endpointsSnapshot",
}

// kindControl is the index of frames without a message, such as heartbeats.
const kindControl = 0

// kindOf returns the index of the message's kind in kindNames.
func kindOf(m wigeonshift.PeerMessage) int {
	switch m.(type) {
	case wigeonshift.PermitAsk:
		return 1
	case wigeonshift.PermitCancel:
		return 2
	case wigeonshift.AttemptNotice:
		return 3
	case wigeonshift.RunningNotice:
		return 4
	case wigeonshift.PermitReply:
		return 5
	case wigeonshift.NotOwner:
		return 6
	case wigeonshift.OwnerNotice:
		return 7
	case wigeonshift.ShardSummary:
		return 8
	case wigeonshift.ConfigurationPush:
		return 9
	case wigeonshift.ConfigurationAsk:
		return 10
	case wigeonshift.ConfigurationSnapshot:
		return 11
	case wigeonshift.ConfigurationHave:
		return 12
	case wigeonshift.OwnerAsk:
		return 13
	case wigeonshift.LoadNotice:
		return 14
	case wigeonshift.EndpointsAsk:
		return 15
	case wigeonshift.EndpointsSnapshot:
		return 16
	default:
		return kindControl
	}
}

// expectsReply reports whether the peer must reply to the message. If nothing arrives afterwards, the peer is probed.
func expectsReply(m wigeonshift.PeerMessage) bool {
	switch m.(type) {
	case wigeonshift.PermitAsk, wigeonshift.OwnerAsk, wigeonshift.ConfigurationAsk:
		return true
	default:
		return false
	}
}

// traffic counts the messages of one kind in one direction.
type traffic struct {
	messages tally.Counter
	bytes    tally.Counter
}

func (t traffic) add(bytes int) {
	t.messages.Inc(1)
	t.bytes.Inc(int64(bytes))
}

// counters holds the metrics of a Network.
type counters struct {
	scope    tally.Scope
	sent     []traffic
	received []traffic
	sessions tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{scope: scope, sessions: scope.Gauge("peerSessions")}
	for _, kind := range kindNames {
		s := scope.Tagged(map[string]string{"kind": kind})
		c.sent = append(c.sent, traffic{s.Counter("peerMessagesSent"), s.Counter("peerBytesSent")})
		c.received = append(c.received, traffic{s.Counter("peerMessagesReceived"), s.Counter("peerBytesReceived")})
	}
	return c
}

// countDropped counts one message that was not sent, by reason.
func (c *counters) countDropped(reason string) {
	c.countDroppedN(reason, 1)
}

// countDroppedN counts n messages that were not sent, by reason.
func (c *counters) countDroppedN(reason string, n int) {
	if n > 0 {
		c.scope.Tagged(map[string]string{"reason": reason}).Counter("peerMessagesDropped").Inc(int64(n))
	}
}

// countSessionEnd counts the end of a session, by reason.
func (c *counters) countSessionEnd(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("peerSessionsEnded").Inc(1)
}

func (c *counters) countDialFailure() {
	c.scope.Counter("peerDialsFailed").Inc(1)
}
