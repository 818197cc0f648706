package wigeonfollow

import "time"

// Pauses after a change, which batch further changes. The pauses for endpoints and crashes grow with the number of
// instances because all of them poll the store.
const (
	batchBaseDelay          = 300 * time.Millisecond
	batchDelayPerInstance   = 15 * time.Millisecond
	quarantineBatchMaxDelay = 1500 * time.Millisecond
	instancesBatchDelay     = time.Second
	// instancesFirstPollDelay lets instances that start together be known after one poll.
	instancesFirstPollDelay = 600 * time.Millisecond
	// maxSmallFleet is the number of instances up to which all form one group. The bounds of such fleets are shorter by a second,
	// and their calls are few.
	maxSmallFleet = 12
	// configurationLargeFleetDelay and endpointsLargeFleetDelay apply beyond maxSmallFleet. A change then is known everywhere
	// within 3 s, of which the rest is left to find a connection that has fallen silent.
	configurationLargeFleetDelay = 900 * time.Millisecond
	endpointsLargeFleetDelay     = 1300 * time.Millisecond
)

// batchDelay returns the pause after a change. It is longer in a larger fleet, because every instance polls the store
// again after the pause.
func (s *Service) batchDelay(longest time.Duration) time.Duration {
	return min(batchBaseDelay+time.Duration(s.schedule.instanceCount())*batchDelayPerInstance, longest)
}

// configurationBatchDelay returns the pause after a new version: none in a small fleet.
func (s *Service) configurationBatchDelay() time.Duration {
	if s.schedule.instanceCount() <= maxSmallFleet {
		return 0
	}
	return configurationLargeFleetDelay
}

// endpointsBatchDelay returns the pause after a change of endpoints.
func (s *Service) endpointsBatchDelay() time.Duration {
	if s.schedule.instanceCount() <= maxSmallFleet {
		return s.batchDelay(endpointsLargeFleetDelay)
	}
	return endpointsLargeFleetDelay
}
