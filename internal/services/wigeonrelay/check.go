package wigeonrelay

import (
	"context"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
)

// endpointCheckDelay is the time between the loss of an attempt and the check of its endpoint. The connections of a
// process that ends don't all close at the same instant.
const endpointCheckDelay = 20 * time.Millisecond

// endpointCheck checks whether an endpoint still runs after an attempt on it was lost.
type endpointCheck struct {
	service *Service
	effect  wigeondispatch.CheckEndpoint
}

// startCheck starts a check of an endpoint.
func (s *Service) startCheck(x wigeondispatch.CheckEndpoint) {
	k := &endpointCheck{service: s, effect: x}
	s.tasks.Go(k.run)
}

// run checks the endpoint and reports the result to the reducer. The pool limits the time of a check.
func (k *endpointCheck) run() {
	wigeonclock.Sleep(context.Background(), endpointCheckDelay)
	target := wigeonupstream.Target{ID: k.effect.EndpointID, Address: k.effect.Address}
	liveness := k.service.pool.Check(context.Background(), target)
	if liveness == wigeonshift.LivenessEnded && !k.reachesOthers() {
		liveness = wigeonshift.LivenessUnknown
	}
	k.service.scope.Tagged(map[string]string{"liveness": liveness.String()}).Counter("endpointChecks").Inc(1)
	k.service.log.WithFields(logrus.Fields{
		"endpoint": target.ID, "address": target.Address, "startedAt": k.effect.StartedAtMillis, "liveness": liveness.String(),
	}).Info("endpoint checked after a lost attempt")
	k.service.dispatcher.reduce(wigeondispatch.EndpointChecked{
		At: k.service.dispatcher.Now(), EndpointID: target.ID, StartedAtMillis: k.effect.StartedAtMillis, Liveness: liveness,
	})
}

// reachesOthers reports whether another endpoint can be reached, or there is none. Otherwise a refused connection may come from a
// partition between this instance and the endpoints.
func (k *endpointCheck) reachesOthers() bool {
	for _, x := range k.effect.Others {
		target := wigeonupstream.Target{ID: x.EndpointID, Address: x.Address}
		if k.service.pool.Probe(context.Background(), target) == nil {
			return true
		}
	}
	return len(k.effect.Others) == 0
}
