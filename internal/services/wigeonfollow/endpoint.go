package wigeonfollow

import (
	"sort"
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// minLapseTime is the shortest time without the store after which rows may have disappeared for lack of a heartbeat. Endpoints miss
// several before their rows go.
const minLapseTime = 2 * time.Second

// reregistrationGrace is how long an endpoint whose row disappeared may take to write it again after a store outage.
const reregistrationGrace = 2 * time.Second

// maxMissingTime bounds the time for which an endpoint without a row stays in use while the store answers, however often it fails in
// between.
const maxMissingTime = 3 * reregistrationGrace

// settleTime is how long the store must have answered since it first listed the endpoints until the list is complete. Endpoints
// that lost their rows in an outage before the start write them again within reregistrationGrace of the store's return.
const settleTime = 2 * reregistrationGrace

// knownEndpoint is an endpoint and the row that it was decoded from.
type knownEndpoint struct {
	record wigeonshift.EndpointRecord
	row    wigeonshift.TableRow
}

// endpointTable keeps the endpoints from their rows. Endpoints whose rows disappear around a store outage stay in use
// for a grace period, since they may only have lost their registration.
type endpointTable struct {
	codec wigeonshift.RoutingCodec
	// sink receives all known endpoints after each change.
	sink    func(records []wigeonshift.EndpointRecord, revision uint64)
	log     logrus.FieldLogger
	refused *refusedRows

	mu sync.Mutex
	// revision is the one up to which the store has delivered all changes; zero until the store has listed the endpoints.
	revision uint64
	// endpoints maps row keys to endpoints.
	endpoints map[string]knownEndpoint
	// listedByStore is set once the store itself has listed the endpoints. Until then they may come from another instance.
	listedByStore bool
	// completeAt is the time from which the list has all endpoints that run, if the store goes on answering; zero until the store has
	// listed them. isComplete is set once it has passed: no later outage takes away what is known.
	completeAt time.Time
	isComplete bool
	// missing holds the keys of endpoints whose rows disappeared around an outage, with the answeringTime at which they did.
	missing map[string]time.Duration
	// storeDown is set while calls to the store fail. Else the store has answered since answersSince; answered is how long it did
	// before the latest outage.
	storeDown    bool
	answersSince time.Time
	answered     time.Duration
	// graceUntil is the end of the grace period. Endpoints whose rows are missing by then are removed.
	graceUntil   time.Time
	removalTimer *time.Timer
	stopped      bool
}

func newEndpointTable(
	codec wigeonshift.RoutingCodec, sink func([]wigeonshift.EndpointRecord, uint64), log logrus.FieldLogger, refused *refusedRows,
) *endpointTable {
	return &endpointTable{
		codec:     codec,
		sink:      sink,
		log:       log,
		refused:   refused,
		endpoints: map[string]knownEndpoint{},
		missing:   map[string]time.Duration{},

		answersSince: time.Now(),
	}
}

// replaceRows replaces all rows by those that the store has listed. Endpoints without a row are removed, except during
// and shortly after an outage of the store: they are then only marked as missing, because they may still run and write
// their rows again. From now on offer ignores the rows of other instances (listedByStore).
func (t *endpointTable) replaceRows(page wigeonshift.TablePage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listedByStore {
		t.completeAt = time.Now().Add(settleTime)
	}
	t.listedByStore, t.revision = true, page.Revision
	t.replaceAllLocked(page.Rows)
}

// hasAll reports whether the list has all endpoints that ran when this instance started. Until then the lack of one proves nothing.
func (t *endpointTable) hasAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedByStore && !t.storeDown && !time.Now().Before(t.completeAt) {
		t.isComplete = true
	}
	return t.isComplete
}

// offer uses the rows of another instance and reports whether it did, so that an instance that starts while the store
// is down has endpoints. It ignores the rows once the store has listed the endpoints, since the store's rows take
// precedence.
func (t *endpointTable) offer(rows []wigeonshift.TableRow) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedByStore {
		return false
	}
	t.replaceAllLocked(rows)
	return true
}

// snapshot returns the rows of all known endpoints, sorted by key, for an instance that can't reach the store.
func (t *endpointTable) snapshot() []wigeonshift.TableRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]wigeonshift.TableRow, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		rows = append(rows, e.row)
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	return rows
}

// replaceAllLocked replaces all rows and publishes the endpoints. A full list shows deleted rows only by their absence,
// so every known endpoint without a row goes through removeRow. The caller must hold mu.
func (t *endpointTable) replaceAllLocked(rows []wigeonshift.TableRow) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
		t.putRow(row)
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.removeRow(id)
		}
	}
	t.publish()
}

// applyChanges applies changed and deleted rows and publishes the endpoints once, after the last row.
func (t *endpointTable) applyChanges(page wigeonshift.TablePage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = page.Revision
	for _, row := range page.Rows {
		if row.Deleted {
			t.removeRow(row.Key)
			continue
		}
		t.putRow(row)
	}
	t.publish()
}

// putRow adds or replaces the endpoint of a row, which is no longer missing since its row exists. If the row can't be
// decoded, its endpoint is removed because the row names no endpoint that could be used.
func (t *endpointTable) putRow(row wigeonshift.TableRow) {
	previous, exists := t.endpoints[row.Key]
	delete(t.missing, row.Key)
	r, err := t.codec.Endpoint(row)
	if err != nil {
		t.refused.refuse(row.Key, err)
		delete(t.endpoints, row.Key)
		return
	}
	t.refused.accept(row.Key)
	t.endpoints[row.Key] = knownEndpoint{record: r, row: row}
	if !exists || previous.record != r {
		t.log.WithFields(logrus.Fields{
			"endpoint": r.ID, "service": r.Service, "address": r.Address, "zone": r.Zone, "leaving": r.Leaving,
			"revision": row.Revision,
		}).Info("endpoint added or changed")
	}
}

// removeRow removes the endpoint of a deleted row. During and shortly after a store outage it only marks the endpoint
// as missing and keeps it in use, because the endpoint may have lost no more than its registration.
func (t *endpointTable) removeRow(id string) {
	t.refused.accept(id)
	if _, exists := t.endpoints[id]; !exists {
		return
	}
	if t.storeDown || time.Now().Before(t.graceUntil) {
		if _, isMissing := t.missing[id]; !isMissing {
			t.missing[id] = t.answeringTime()
			t.log.WithField("endpoint", id).Info("endpoint row missing after a store outage")
		}
		t.scheduleRemoval()
		return
	}
	t.removeEndpoint(id)
}

// removeEndpoint removes an endpoint that is gone. The caller must hold mu.
func (t *endpointTable) removeEndpoint(id string) {
	delete(t.endpoints, id)
	delete(t.missing, id)
	t.log.WithField("endpoint", id).Info("endpoint removed")
}

// answeringTime returns how long the store has answered since the start, without its outages. The caller must hold mu.
func (t *endpointTable) answeringTime() time.Duration {
	if t.storeDown {
		return t.answered
	}
	return t.answered + time.Since(t.answersSince)
}

// handleStoreFailure suspends the removal of endpoints until the store responds again, because rows that disappear
// around an outage don't show that their endpoints have stopped.
func (t *endpointTable) handleStoreFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = t.answeringTime()
	t.storeDown = true
	t.scheduleRemoval()
}

// handleStoreRecovery starts the grace period, in which endpoints whose rows are missing can write them again. If the store was away for a
// short time only, perhaps for this instance alone, no further row has disappeared for that.
func (t *endpointTable) handleStoreRecovery(away time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeDown, t.answersSince = false, time.Now()
	t.completeAt = time.Now().Add(settleTime)
	if away >= minLapseTime || len(t.missing) > 0 {
		t.startGrace()
	}
}

// handleStoreRestored starts the grace period, too: endpoints whose rows are missing in the older copy write them again.
func (t *endpointTable) handleStoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeAt = time.Now().Add(settleTime)
	t.startGrace()
}

// startGrace starts the grace period. The caller must hold mu.
func (t *endpointTable) startGrace() {
	t.graceUntil = time.Now().Add(reregistrationGrace)
	t.scheduleRemoval()
}

// scheduleRemoval sets the timer for the next removal that is due by the state of the table. It is called after each change of that
// state, so that no single event has to arrive. While the store is away nothing is due, since endpoints can't write their rows. The
// caller must hold mu.
func (t *endpointTable) scheduleRemoval() {
	if t.removalTimer != nil {
		t.removalTimer.Stop()
	}
	if t.stopped || t.storeDown || len(t.missing) == 0 {
		return
	}
	next := maxMissingTime
	for _, since := range t.missing {
		next = min(next, t.untilRemoval(since))
	}
	t.removalTimer = time.AfterFunc(next, t.removeMissing)
}

// untilRemoval returns the time until an endpoint is removed that has been missing since a moment of answeringTime: until the end of
// the grace period, which begins again after each outage, but no longer than maxMissingTime of the store's answers. The caller must
// hold mu.
func (t *endpointTable) untilRemoval(since time.Duration) time.Duration {
	return max(min(time.Until(t.graceUntil), since+maxMissingTime-t.answeringTime()), 0)
}

// removeMissing removes the endpoints whose time to write their rows again is over.
func (t *endpointTable) removeMissing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.storeDown {
		return
	}
	removed := false
	for id, since := range t.missing {
		if t.untilRemoval(since) == 0 {
			t.removeEndpoint(id)
			removed = true
		}
	}
	if removed {
		t.publish()
	}
	t.scheduleRemoval()
}

// stop stops the timer and prevents a new one, so that nothing is passed to the sink after Service.Stop.
func (t *endpointTable) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.scheduleRemoval()
}

// publish passes all endpoints to the sink, missing ones included because they stay in use. They are sorted by ID, so
// that their order doesn't depend on the map. The caller must hold mu.
func (t *endpointTable) publish() {
	records := make([]wigeonshift.EndpointRecord, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		records = append(records, e.record)
	}
	sort.Slice(records, func(i, k int) bool { return records[i].ID < records[k].ID })
	t.sink(records, t.revision)
}
