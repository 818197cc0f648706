package wigeonrelay

import (
	"time"

	"wigeonshift/internal/services/wigeonroute"
)

const (
	// reportedVersionTime is how long the word counts that another instance has a version: over twice the time between two load notices
	// of an instance of another group. It ends if all instances with the version have ended, and the store has returned from an older
	// copy.
	reportedVersionTime = 5 * time.Second
	// outdatedRetryAfter is the Retry-After while a newer configuration is on its way. Other instances may have it.
	outdatedRetryAfter = 300 * time.Millisecond
)

// reportedVersion is the newest version of the configuration that another instance has in force.
type reportedVersion struct {
	version uint64
	// at is the time of the latest report.
	at time.Time
}

// ReportVersion records that another instance has a version of the configuration in force.
func (s *Service) ReportVersion(version uint64) {
	now := time.Now()
	if known := s.newestReport.Load(); known == nil || version >= known.version || now.Sub(known.at) >= reportedVersionTime {
		s.newestReport.Store(&reportedVersion{version: version, at: now})
	}
}

// isOutdated reports whether another instance has a newer configuration in force than a table. The table then proves of no route and no
// key that it doesn't exist.
func (s *Service) isOutdated(t *wigeonroute.Table) bool {
	r := s.newestReport.Load()
	return r != nil && r.version > t.Configuration.Version && time.Since(r.at) < reportedVersionTime
}
