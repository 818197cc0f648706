package wigeonwire_test

import (
	"bytes"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWigeonwire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonwire")
}

// samples returns a message of every kind with all fields set, a reply with every kind of answer, and a NotOwner without
// an owner.
func samples() []wigeonshift.PeerMessage {
	at := time.Unix(1_700_000_000, 123_456_789).UTC()
	spill := wigeonshift.ShardID("p/s/r/1")
	i := wigeonshift.Instance{ID: "i", Address: "192.0.2.1:7", Zone: "z", Region: "r", State: wigeonshift.InstanceLeaving}
	r := wigeonshift.PermitRequest{
		ID: "id", Shard: "p/s/r/0", Product: "p", Organisation: "o", Tier: "t", Rank: 3, Model: "m", Deadline: at,
		PromptTokens: 100, MaxTokens: 20, Prefix: []wigeonshift.BlockHash{1, 1 << 63}, Fingerprint: 1<<64 - 1,
		NonIdempotent: true, Attempt: 2, Avoid: []string{"e1", "e2"}, SpillCount: 1,
	}
	reply := func(a wigeonshift.PermitAnswer) wigeonshift.PeerMessage {
		return wigeonshift.PermitReply{Shard: "p/s/r/0", Request: "id", Epoch: 7, Answer: a}
	}
	return []wigeonshift.PeerMessage{
		wigeonshift.PermitAsk{Request: r},
		wigeonshift.PermitCancel{Shard: "p/s/r/0", Request: "id"},
		wigeonshift.AttemptNotice{Report: wigeonshift.AttemptReport{
			Request: "id", Shard: "p/s/r/0", Token: "tok", Endpoint: "e", State: wigeonshift.AttemptNotRun, TokensDone: 5,
			CachedTokens: 64, Elapsed: time.Second, ConnectRefused: true,
		}},
		wigeonshift.RunningNotice{Shard: "p/s/r/0", Epoch: 7, Attempts: []wigeonshift.RunningAttempt{
			{Request: r, Token: "tok", Endpoint: "e", TokensDone: 9, Paused: true},
		}},
		reply(wigeonshift.PermitAnswer{Grant: &wigeonshift.Permit{
			Request: "id", Shard: "p/s/r/0", Epoch: 7, Endpoint: "e", Address: "192.0.2.1:7", Token: "tok", ExpiresAt: at,
			CachedTokens: 64,
		}}),
		reply(wigeonshift.PermitAnswer{Refuse: &wigeonshift.Refusal{
			Reason: wigeonshift.ReasonQueueFull, State: wigeonshift.NotRun, RetryAfter: time.Second,
		}}),
		reply(wigeonshift.PermitAnswer{Revoke: &wigeonshift.Revocation{
			Request: "id", Token: "tok", Epoch: 7, Action: wigeonshift.RevokePause,
		}}),
		reply(wigeonshift.PermitAnswer{Spill: &spill}),
		wigeonshift.NotOwner{Shard: "p/s/r/0", Request: "id", Owner: i},
		wigeonshift.NotOwner{Shard: "p/s/r/0"},
		wigeonshift.OwnerAsk{Shard: "p/s/r/0"},
		wigeonshift.OwnerNotice{Shard: "p/s/r/0", Epoch: 7, Owner: i, Release: true},
		wigeonshift.ShardSummary{Shard: "p/s/r/0", Epoch: 7, LowestPriorityRunning: -1, LowestPriorityQueued: 3, FreeSlots: 8},
		wigeonshift.ConfigurationPush{Changes: []wigeonshift.Change{
			{Version: 8, PatchID: "x", Author: "a", At: at, Patch: []byte("{}")},
		}},
		wigeonshift.ConfigurationAsk{Have: 8},
		wigeonshift.ConfigurationSnapshot{Version: 8, Document: []byte("{}")},
		wigeonshift.ConfigurationHave{Version: 8},
		wigeonshift.EndpointsAsk{Have: 3},
		wigeonshift.EndpointsSnapshot{Revision: 9, Rows: []wigeonshift.TableRow{
			{Key: "a", Value: []byte("{}"), Revision: 4}, {Key: "b", Value: []byte("x"), Revision: 9},
		}, Instances: []wigeonshift.Instance{{ID: "i", Address: "192.0.2.1:1", Zone: "z", Region: "r", State: wigeonshift.InstanceLive}}},
		wigeonshift.LoadNotice{
			ConfigurationVersion: 8,
			EndpointsRevision:    5,
			Endpoints: []wigeonshift.EndpointLoad{
				{Endpoint: "e", Running: 3, PrefillTokens: 900, ReservedTokens: 4000, Rejections: 2},
			},
			Organisations: []wigeonshift.OrganisationUse{{Organisation: "o", Units: 1.5, RemainingUnits: -2.5}},
			Services:      []wigeonshift.ServiceWait{{Service: "s", QueuedByLevel: []int{0, 2}}},
			Reservations: []wigeonshift.ReturnReservation{
				{Service: "s", Caller: 1 << 63, Level: 4, Age: 50 * time.Millisecond, In: 700 * time.Millisecond},
			},
			Leaving:            []string{"f"},
			Misplaced:          []string{"g@7"},
			QuarantineRevision: 6,
			Limits: []wigeonshift.EndpointLimitUse{
				{Endpoint: "e", StartedAtMillis: 7, RequestsPerSecond: 4.1, Generation: 3, Sent: 9}, {Endpoint: "f", Ended: true},
			},
			CrashEvidence: wigeonshift.CrashEvidence{
				Crashes: []wigeonshift.Crash{{
					Fingerprint: 1 << 63, Endpoint: "e@7", MidRun: true, At: time.UnixMilli(12),
					Shared:   wigeonshift.SharedFingerprints{Content: 1, Query: 2, Headers: 1 << 63},
					Features: []wigeonshift.Fingerprint{3, 1 << 63},
				}},
				Answers: []wigeonshift.FeatureAnswer{{Feature: 1 << 63, At: time.UnixMilli(13)}},
			},
		},
	}
}

var _ = Describe("Wire format", func() {
	It("round-trips every message", func() {
		for _, m := range samples() {
			b, err := wigeonwire.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			back, err := wigeonwire.Unmarshal(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(back).To(Equal(m))
		}
	})

	It("rejects replies without an answer, frames above the size limit and truncated frames", func() {
		_, err := wigeonwire.Marshal(wigeonshift.PermitReply{Shard: "p/s/r/0"})
		Expect(err).To(MatchError(wigeonwire.ErrMalformed))
		f, err := wigeonwire.FrameOf(samples()[0])
		Expect(err).NotTo(HaveOccurred())
		framed, err := wigeonwire.EncodeFrame(f)
		Expect(err).NotTo(HaveOccurred())
		_, size, err := wigeonwire.ReadFrame(bytes.NewReader(framed), len(framed))
		Expect(err).NotTo(HaveOccurred())
		Expect(size).To(Equal(len(framed)))
		_, _, err = wigeonwire.ReadFrame(bytes.NewReader(framed), 16)
		Expect(err).To(MatchError(wigeonwire.ErrTooLarge))
		for cut := range framed {
			_, _, err = wigeonwire.ReadFrame(bytes.NewReader(framed[:cut]), len(framed))
			Expect(err).To(HaveOccurred())
		}
	})
})

// FuzzUnmarshal checks that no input makes the decoder panic, and that encoding a decoded message, decoding it and
// encoding it again gives the same bytes.
func FuzzUnmarshal(f *testing.F) {
	for _, m := range samples() {
		b, err := wigeonwire.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte{0x22, 0x00})
	f.Add([]byte{0x3a, 0x02, 0x1a, 0x00})
	f.Add(bytes.Repeat([]byte{0xff}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, _ = wigeonwire.ReadFrame(bytes.NewReader(data), 1<<16)
		m, err := wigeonwire.Unmarshal(data)
		if err != nil {
			return
		}
		first, err := wigeonwire.Marshal(m)
		if err != nil {
			t.Fatalf("decoded %#v but can't encode it: %v", m, err)
		}
		again, err := wigeonwire.Unmarshal(first)
		if err != nil {
			t.Fatalf("can't decode the re-encoded message: %v", err)
		}
		second, err := wigeonwire.Marshal(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encodings differ: %x and %x (%v)", first, second, err)
		}
	})
}

func BenchmarkPermitAsk(b *testing.B) {
	m := samples()[0]
	for b.Loop() {
		body, err := wigeonwire.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := wigeonwire.Unmarshal(body); err != nil {
			b.Fatal(err)
		}
	}
}
