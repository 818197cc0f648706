package wigeonquota

import "time"

// usageSlots is the number of equal slots of a window in which the use of a quota is counted.
const usageSlots = 16

// topUpTime is the time over which unused units of a window are granted.
const topUpTime = time.Second

// topUpBalanceShare is the share of the burst below which a new round tops the balance up.
const topUpBalanceShare = 0.25

// windowUsage counts the use of a quota by all instances in a sliding window, as far as this instance knows.
type windowUsage struct {
	// slotLength is a part of the window; zero if the window isn't known.
	slotLength time.Duration
	// units holds the use of the latest slots, each at its number modulo the length of the array. It includes the slot that
	// the start of the window lies in.
	units [usageSlots + 1]float64
	// latestSlot is the number of the latest slot.
	latestSlot int64
}

// advance clears the slots that have left the window.
func (w *windowUsage) advance(at time.Duration) {
	slot := int64(at / w.slotLength)
	for n := 0; w.latestSlot < slot && n < len(w.units); n++ {
		w.latestSlot++
		w.units[w.latestSlot%int64(len(w.units))] = 0
	}
	w.latestSlot = max(w.latestSlot, slot)
}

// add counts units used at a time. Negative units take back what was counted last, so that a correction leaves the window no later
// than what it corrects.
func (w *windowUsage) add(units float64, at time.Duration) {
	if w.slotLength == 0 {
		return
	}
	w.advance(at)
	if units >= 0 {
		w.units[w.latestSlot%int64(len(w.units))] += units
		return
	}
	for n := range w.slots() {
		slot := &w.units[(w.latestSlot-n)%int64(len(w.units))]
		taken := min(-units, *slot)
		*slot -= taken
		units += taken
	}
}

// slots returns the number of slots that have begun, at most the length of units.
func (w *windowUsage) slots() int64 { return min(int64(len(w.units)), w.latestSlot+1) }

// total returns the use in the window.
func (w *windowUsage) total(at time.Duration) float64 {
	if w.slotLength == 0 {
		return 0
	}
	w.advance(at)
	sum := 0.0
	for _, units := range w.units {
		sum += units
	}
	return sum
}

// headroom returns the units that can be granted in addition to a balance that is refilled at a rate in units per second, so
// that no window from now on holds more than a limit. It can be negative.
func (w *windowUsage) headroom(limit, balance, unitsPerSecond float64, at time.Duration) float64 {
	w.advance(at)
	refillPerSlot := unitsPerSecond * w.slotLength.Seconds()
	least, used := limit-balance-usageSlots*refillPerSlot, 0.0
	for n := range w.slots() {
		used += w.units[(w.latestSlot-n)%int64(len(w.units))]
		least = min(least, limit-used-balance-float64(usageSlots-n)*refillPerSlot)
	}
	return least
}

// recordUse subtracts units that this or another instance has used from the balance, and counts them in the window.
func (q *Quota) recordUse(units float64, at time.Duration) {
	q.balance -= units
	q.usage.add(units, at)
}

// topUp adds to the balance what the organisation's limit allows in a window beyond the balance and its refill: after a burst,
// the rate alone would grant less than the limit for as long as the organisation asks for more than the rate. It spreads
// this over topUpTime. It adds nothing before the use of all instances has been known for a whole window.
func (q *Quota) topUp(at time.Duration) {
	elapsed := at - q.toppedUpAt
	q.toppedUpAt = at
	if q.usage.slotLength == 0 || q.Share < 1 || at-q.completeSince < q.window {
		return
	}
	headroom := q.usage.headroom(q.windowUnits, q.balance, q.unitsPerSecond, at)
	if headroom > 0 {
		q.balance = min(q.burstUnits, q.balance+headroom*min(elapsed.Seconds()/topUpTime.Seconds(), 1))
	}
}
