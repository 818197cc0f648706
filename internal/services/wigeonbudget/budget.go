// Package wigeonbudget limits how many requests to a service are sent again after a failed attempt. A budget reads no clock
// and does no I/O: its caller passes the time since the instance's start.
package wigeonbudget

import "time"

const (
	// slotsPerWindow is the number of slots of the window in which a retry budget counts.
	slotsPerWindow = 200
	// MaxArrivalDelay is the longest time from the decision to resend a request to its arrival at the endpoint.
	MaxArrivalDelay = 500 * time.Millisecond
	// MaxSendDelay is the part of MaxArrivalDelay until the first byte of a resend is written. A resend that takes longer isn't
	// sent; the rest is for the network.
	MaxSendDelay = 200 * time.Millisecond
	// MaxReceiveDelay is the longest time from the sending of a request by its caller to its arrival here. Requests that may
	// have taken longer don't count.
	MaxReceiveDelay = 500 * time.Millisecond
)

// Decision says whether the retry budget allows a resend, and what the decision was based on.
type Decision struct {
	Allowed bool
	// Resends is the number of earlier resends to the service that count. Limit is the number that is allowed, and Slack the
	// part of it that doesn't depend on the number of requests.
	Resends      int
	Limit, Slack float64
}

// room returns the number of further resends that the limit allows.
func (d Decision) room() float64 { return d.Limit - float64(d.Resends) }

// Budget limits the number of resends by this instance to a service. A resend sends a request to another endpoint
// after an attempt that gave no answer.
//
// The deployment's limit holds for the arrivals in every window: a ratio of the requests that callers sent in that window
// or in the one before it, whichever has more, plus a fixed number. Each instance counts the mean of both windows, since
// the mean of the sum over all instances is the sum of their means, and never more than the larger window. So the limit of
// all instances holds if each one keeps its own, without knowing of the others, wherever callers send their requests
// and whoever restarts. Only the fixed number has to be divided among the instances.
type Budget struct {
	ratio float64
	// slot is the length of a slot. arrivalSlots and receiveSlots are the numbers of slots that cover MaxArrivalDelay and
	// MaxReceiveDelay.
	slot                       time.Duration
	arrivalSlots, receiveSlots int
	// current is the number of the newest slot, counted from time zero.
	current int64
	// requests holds the requests of the latest slots.
	requests [historySlots]int
	// arrived holds the resends that have surely arrived, by the slot in which this became known. pending holds the others,
	// by the slot of the decision; they arrive at most MaxArrivalDelay later.
	arrived, pending [historySlots]int
	// reserved is the number of resends that were promised to queued requests.
	reserved int
}

// historySlots is the number of slots that are kept: two windows and the delay up to the arrival.
const historySlots = 2*slotsPerWindow + slotsPerWindow/2

// New returns a budget that knows of no requests and no resends. ratio is the allowed ratio of resends to requests over all
// instances, and window the length of the window in which both are counted, at least a second.
func New(ratio float64, window time.Duration) *Budget {
	slot := window / slotsPerWindow
	return &Budget{
		ratio: ratio, slot: slot,
		arrivalSlots: int((MaxArrivalDelay + slot - 1) / slot), receiveSlots: int((MaxReceiveDelay + slot - 1) / slot),
	}
}

// advance clears the slots that begin between the newest one and a time.
func (b *Budget) advance(at time.Duration) {
	slot := int64(at / b.slot)
	b.current = max(b.current, slot-historySlots)
	for b.current < slot {
		b.current++
		i := b.current % historySlots
		b.requests[i], b.arrived[i], b.pending[i] = 0, 0, 0
	}
}

// CountRequest counts a new request. The number of allowed resends grows with the number of requests.
func (b *Budget) CountRequest(at time.Duration) {
	b.advance(at)
	b.requests[b.current%historySlots]++
}

// CountResend counts a resend that is sent now and returns its slot.
func (b *Budget) CountResend(at time.Duration) int64 {
	b.advance(at)
	b.pending[b.current%historySlots]++
	return b.current
}

// RecordArrival records that the endpoint has received the resend that was sent in a slot. If that is long ago, the resend
// has been counted as arrived since MaxArrivalDelay after it.
func (b *Budget) RecordArrival(slot int64, at time.Duration) {
	b.advance(at)
	if b.current-slot >= int64(b.arrivalSlots) {
		return
	}
	b.pending[slot%historySlots]--
	b.arrived[b.current%historySlots]++
}

// CancelResend takes back a resend that was counted in a slot and has not been sent.
func (b *Budget) CancelResend(slot int64, at time.Duration) {
	b.advance(at)
	if b.current-slot < historySlots {
		b.pending[slot%historySlots]--
	}
}

// Decide returns whether one more resend is allowed now, in addition to others. slack is this instance's part of the
// fixed number of resends. A resend counts in every window in which it may arrive, and the window with the least room
// decides.
func (b *Budget) Decide(at time.Duration, slack float64, others int) Decision {
	b.advance(at)
	c := newSlotSums(b)
	newest := -b.arrivalSlots
	tightest := c.decision(b, newest, slack)
	for age := newest + 1; age <= slotsPerWindow; age++ {
		if d := c.decision(b, age, slack); d.room() < tightest.room() {
			tightest = d
		}
	}
	tightest.Resends += others
	tightest.Allowed = tightest.room() >= 1
	return tightest
}

// Reserve promises a resend to a queued request. Its use is decided on again when the request is sent.
func (b *Budget) Reserve() { b.reserved++ }

// Release takes back a promise made by Reserve.
func (b *Budget) Release() { b.reserved-- }

// SetReserved corrects the number of promised resends.
func (b *Budget) SetReserved(n int) { b.reserved = n }

// Reserved returns the number of resends that are promised to queued requests.
func (b *Budget) Reserved() int { return b.reserved }

// slotSums holds the sums of the counts of the newest slots: requests[n] is the number of requests in the newest n slots.
type slotSums struct {
	requests, arrived, pending [historySlots + 1]int
}

func newSlotSums(b *Budget) *slotSums {
	c := &slotSums{}
	for age := range historySlots {
		i := (b.current - int64(age)) % historySlots
		if i < 0 {
			i += historySlots
		}
		c.requests[age+1] = c.requests[age] + b.requests[i]
		c.arrived[age+1] = c.arrived[age] + b.arrived[i]
		c.pending[age+1] = c.pending[age] + b.pending[i]
	}
	return c
}

// decision returns the counts for the windows that begin in the slot of an age, which is negative in the future. Its
// resends are those that may arrive in such a window; its requests are only those that were surely sent in it or in the
// window before it, so that half of them is the mean of both.
func (c *slotSums) decision(b *Budget, age int, slack float64) Decision {
	requests := c.requests[max(age+slotsPerWindow-b.receiveSlots, 0)]
	return Decision{
		Resends: c.arrived[max(age+1, 0)] + c.pending[age+b.arrivalSlots+1],
		Limit:   b.ratio*float64(requests)/2 + slack,
		Slack:   slack,
	}
}
