package wigeonspread

import "wigeonshift"

// Limits of the changes kept for lagging peers and of the changes in one push.
const (
	maxRecentChanges = 256
	maxRecentBytes   = 4 << 20
	maxPushChanges   = 64
	maxPushBytes     = 512 << 10
)

// changeLog keeps the newest changes in version order, without gaps.
type changeLog struct {
	changes []wigeonshift.Change
	bytes   int
}

// add appends a change. If it doesn't follow the last change directly, add discards all earlier changes.
func (l *changeLog) add(ch wigeonshift.Change) {
	if n := len(l.changes); n > 0 && l.changes[n-1].Version+1 != ch.Version {
		l.changes, l.bytes = nil, 0
	}
	l.changes = append(l.changes, ch)
	l.bytes += len(ch.Patch)
	for len(l.changes) > maxRecentChanges || (l.bytes > maxRecentBytes && len(l.changes) > 1) {
		l.bytes -= len(l.changes[0].Patch)
		l.changes[0] = wigeonshift.Change{}
		l.changes = l.changes[1:]
	}
}

// changesAfter returns the changes after a version, as many as fit in one push; ok is false if the log no longer has
// the change that follows the version.
func (l *changeLog) changesAfter(version uint64) (changes []wigeonshift.Change, ok bool) {
	if len(l.changes) == 0 || version+1 < l.changes[0].Version {
		return nil, false
	}
	size := 0
	for _, ch := range l.changes {
		if ch.Version <= version {
			continue
		}
		size += len(ch.Patch)
		if len(changes) == maxPushChanges || (size > maxPushBytes && len(changes) > 0) {
			break
		}
		changes = append(changes, ch)
	}
	return changes, true
}
