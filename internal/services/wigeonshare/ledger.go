package wigeonshare

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/samber/oops"
)

// WholeParts is the number of parts that the instances divide.
const WholeParts = 1_000_000

// mergeInterval is the largest difference between the ends of given up leases that are recorded as one.
const mergeInterval = time.Second

// maxLeases bounds the ledger, so that it fits into a row of the store.
const maxLeases = 1700

// ErrMalformed reports a ledger that can't be decoded.
var ErrMalformed = errors.New("malformed ledger")

// HolderOf returns the holder for an address. It is shorter than the address, because the ledger has a limited size.
func HolderOf(address string) string {
	h := fnv.New64a()
	h.Write([]byte(address))
	return fmt.Sprintf("%012x", h.Sum64()>>16)
}

// Lease is a number of parts that one instance may use up to a time.
type Lease struct {
	// Holder identifies the peer address of the instance. An instance that is started again has the same holder. It is empty
	// for parts that were given up.
	Holder string
	// Parts is from 0 to WholeParts.
	Parts int
	// EndsAtMillis is the time on the store's clock from which the holder doesn't use the parts.
	EndsAtMillis int64
}

// Ledger lists the leases of all instances.
type Ledger struct {
	// Era is the era of the store in which the ledger was written.
	Era uint64
	// GrowFromMillis is the time on the store's clock before which no instance may take more parts, because the store may
	// have lost leases that are still in use.
	GrowFromMillis int64
	// Leases has at most one lease of each holder that hasn't ended, and those that are cooling down. The parts never
	// add up to more than WholeParts, unless the store has lost changes.
	Leases []Lease
}

// ledgerColumns is the encoded form of a ledger. The columns are shorter than a list of leases.
type ledgerColumns struct {
	Era            uint64   `json:"era"`
	GrowFromMillis int64    `json:"growFromMillis"`
	Holders        []string `json:"holders"`
	Parts          []int    `json:"parts"`
	EndsAtMillis   []int64  `json:"endsAtMillis"`
}

// encode returns the row value of a ledger.
func (l Ledger) encode() ([]byte, error) {
	c := ledgerColumns{Era: l.Era, GrowFromMillis: l.GrowFromMillis}
	for _, lease := range l.Leases {
		c.Holders = append(c.Holders, lease.Holder)
		c.Parts = append(c.Parts, lease.Parts)
		c.EndsAtMillis = append(c.EndsAtMillis, lease.EndsAtMillis)
	}
	return json.Marshal(c)
}

// decodeLedger decodes a row value. Its error wraps ErrMalformed.
func decodeLedger(value []byte) (Ledger, error) {
	var c ledgerColumns
	if err := json.Unmarshal(value, &c); err != nil {
		return Ledger{}, oops.In("share").Wrap(errors.Join(ErrMalformed, err))
	}
	if len(c.Parts) != len(c.Holders) || len(c.EndsAtMillis) != len(c.Holders) {
		return Ledger{}, oops.In("share").With("holders", len(c.Holders)).Wrap(ErrMalformed)
	}
	l := Ledger{Era: c.Era, GrowFromMillis: c.GrowFromMillis}
	for i, holder := range c.Holders {
		if c.Parts[i] < 0 || c.Parts[i] > WholeParts {
			return Ledger{}, oops.In("share").With("parts", c.Parts[i]).Wrap(ErrMalformed)
		}
		l.Leases = append(l.Leases, Lease{Holder: holder, Parts: c.Parts[i], EndsAtMillis: c.EndsAtMillis[i]})
	}
	return l, nil
}

// usedParts returns the number of parts that are leased or cooling down.
func (l Ledger) usedParts() int {
	sum := 0
	for _, lease := range l.Leases {
		sum += lease.Parts
	}
	return sum
}

// activeLease returns the lease of a holder that hasn't ended, or a lease of no parts.
func (l Ledger) activeLease(holder string, nowMillis int64) Lease {
	for _, lease := range l.Leases {
		if lease.Holder == holder && lease.EndsAtMillis > nowMillis {
			return lease
		}
	}
	return Lease{Holder: holder}
}

// otherHolders returns the number of holders with a lease that hasn't ended, without one holder.
func (l Ledger) otherHolders(holder string, nowMillis int64) int {
	n := 0
	for _, lease := range l.Leases {
		if lease.Holder != "" && lease.Holder != holder && lease.EndsAtMillis > nowMillis {
			n++
		}
	}
	return n
}

// removeCooled removes the leases whose cooldown is over.
func (l *Ledger) removeCooled(nowMillis int64, cooldown time.Duration) {
	l.Leases = slices.DeleteFunc(l.Leases, func(lease Lease) bool {
		return lease.EndsAtMillis+cooldown.Milliseconds() <= nowMillis
	})
}

// nextFreeMillis returns the time on the store's clock at which parts are next free to be taken, or zero if it isn't known.
func (l Ledger) nextFreeMillis(nowMillis int64, cooldown time.Duration) int64 {
	if l.GrowFromMillis > nowMillis {
		return l.GrowFromMillis
	}
	next := int64(0)
	for _, lease := range l.Leases {
		free := lease.EndsAtMillis + cooldown.Milliseconds()
		ended := lease.Holder == "" || lease.EndsAtMillis <= nowMillis
		if lease.Parts > 0 && ended && (next == 0 || free < next) {
			next = free
		}
	}
	return next
}

// renewal is a change of one holder's lease.
type renewal struct {
	holder string
	// heldParts is the number of parts that the holder uses at present.
	heldParts int
	// The time on the store's clock is between nowMillis and latestNowMillis.
	nowMillis, latestNowMillis int64
	// askedAt is the time on the holder's clock before the store told nowMillis.
	askedAt time.Duration
	// duration is that of the new lease, cooldown the time after its end in which nobody uses the parts.
	duration, cooldown time.Duration
	// minHolders is the smallest number of holders among which the parts are divided.
	minHolders int
	// release ends the lease.
	release bool
}

// fairParts returns an equal share for each holder that the ledger knows.
func (l Ledger) fairParts(r renewal) int {
	return WholeParts / max(l.otherHolders(r.holder, r.nowMillis)+1, r.minHolders)
}

// renew returns the ledger after a renewal and the number of parts that the holder then has. A holder with more than its
// fair share gives up the rest; one with less takes what is free, up to its fair share.
func (l Ledger) renew(r renewal) (Ledger, int) {
	next := Ledger{Era: l.Era, GrowFromMillis: l.GrowFromMillis, Leases: slices.Clone(l.Leases)}
	next.removeCooled(r.nowMillis, r.cooldown)
	active := next.activeLease(r.holder, r.nowMillis)
	had := max(active.Parts, r.heldParts)
	parts := min(had, next.fairParts(r))
	if r.nowMillis >= l.GrowFromMillis {
		free := WholeParts - next.usedParts() + active.Parts - had
		parts = min(had+max(free, 0), next.fairParts(r))
	}
	full := active.EndsAtMillis == 0 && len(next.Leases) >= maxLeases
	if r.release || full {
		parts = 0
	}
	next.Leases = slices.DeleteFunc(next.Leases, func(lease Lease) bool { return lease == active })
	next.giveUp(had-parts, r.latestNowMillis)
	if !r.release && !full {
		next.Leases = append(next.Leases, Lease{
			Holder: r.holder, Parts: parts, EndsAtMillis: r.latestNowMillis + r.duration.Milliseconds(),
		})
	}
	return next, parts
}

// giveUp records parts that are given up now, together with others that were given up shortly before.
func (l *Ledger) giveUp(parts int, nowMillis int64) {
	if parts <= 0 {
		return
	}
	for i, lease := range l.Leases {
		if lease.Holder == "" && nowMillis-lease.EndsAtMillis <= mergeInterval.Milliseconds() {
			l.Leases[i] = Lease{Parts: lease.Parts + parts, EndsAtMillis: max(lease.EndsAtMillis, nowMillis)}
			return
		}
	}
	l.Leases = append(l.Leases, Lease{Parts: parts, EndsAtMillis: nowMillis})
}
