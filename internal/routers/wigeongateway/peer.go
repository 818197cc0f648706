package wigeongateway

import (
	"context"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

// handleMessage is the network's handler for messages from other instances.
func (g *Gateway) handleMessage(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	switch m := m.(type) {
	case wigeonshift.LoadNotice:
		g.heard.record(from.ID, time.Now())
		g.dispatcher.SetPeerLoad(from.ID, m)
		g.quarantine.Offer(m.CrashEvidence)
		g.fetchNewerQuarantine(from, m.QuarantineRevision)
		g.relay.ReportVersion(m.ConfigurationVersion)
		g.fetchNewerConfiguration(from, m.ConfigurationVersion)
		g.fetchNewerRollouts(from, m.Rollouts)
		g.fetchNewerEndpoints(from, m.EndpointsRevision)
	case wigeonshift.ConfigurationAsk:
		g.sendConfiguration(from, m.Have)
	case wigeonshift.ConfigurationSnapshot:
		g.follower.OfferConfiguration(m.Document)
	case wigeonshift.EndpointsAsk:
		g.sendEndpoints(from, m.Have)
	case wigeonshift.EndpointsSnapshot:
		g.useInstances(from, m.Instances)
		if g.follower.OfferEndpoints(m) {
			g.log.WithFields(logrus.Fields{"from": from.ID, "revision": m.Revision, "rows": len(m.Rows)}).
				Info("using the endpoints received from a peer")
		}
	}
}

// fetchNewerConfiguration queries the store for the configuration again if a peer has a newer version that the store has not
// delivered in time. If the store fails, or doesn't answer that either, it also requests the version from the peer. A version may be
// large, so it is fetched only once at a time: not while the store's answer is arriving, nor while changes are collected, after which the
// store is polled anyway.
func (g *Gateway) fetchNewerConfiguration(from wigeonshift.Instance, peerVersion uint64) {
	localVersion := uint64(0)
	if table := g.relay.Table(); table != nil {
		localVersion = table.Configuration.Version
	}
	if g.follower.BatchesConfiguration() || g.follower.ReceivesConfiguration() {
		return
	}
	if !g.configurationRequests.shouldRequest(from.ID, peerVersion, localVersion, time.Now()) {
		return
	}
	g.follower.RepollConfiguration()
	if !g.follower.ConfigurationFails() && !g.configurationRequests.isRepeated() {
		return
	}
	g.log.WithFields(logrus.Fields{"from": from.ID, "version": peerVersion, "own": localVersion}).
		Info("requesting a newer configuration from a peer")
	if err := g.network.Send(context.Background(), from, wigeonshift.ConfigurationAsk{Have: localVersion}); err != nil {
		g.log.WithError(err).WithField("from", from.ID).Warn("failed to request the configuration from a peer")
	}
}

// fetchNewerRollouts queries the store for rollout orders again if a peer knows a newer one. They are in the table of the
// configuration.
func (g *Gateway) fetchNewerRollouts(from wigeonshift.Instance, reports []wigeonshift.RolloutReport) {
	peerRevision := uint64(0)
	for _, r := range reports {
		peerRevision = max(peerRevision, r.OrderRevision)
	}
	if peerRevision == 0 {
		return
	}
	localRevision := g.follower.ConfigurationRevision()
	if !g.rolloutRequests.shouldRequest(from.ID, peerRevision, localRevision, time.Now()) {
		return
	}
	g.log.WithFields(logrus.Fields{"from": from.ID, "revision": peerRevision, "own": localRevision}).
		Info("a peer has a newer rollout order; checking the store")
	g.follower.RepollConfiguration()
}

// fetchNewerEndpoints queries the store for endpoints again if a peer knows of a change that the store has not delivered
// here. It also requests the endpoints from the peer if this instance has never had any list of endpoints.
func (g *Gateway) fetchNewerEndpoints(from wigeonshift.Instance, peerRevision uint64) {
	_, localRevision := g.follower.EndpointsRevision()
	if !g.endpointsRequests.shouldRequest(from.ID, peerRevision, localRevision, time.Now()) {
		return
	}
	g.log.WithFields(logrus.Fields{"from": from.ID, "revision": peerRevision, "own": localRevision}).
		Info("a peer has newer endpoints; checking the store")
	g.follower.RepollEndpoints()
	if g.hasEndpoints.Load() {
		return
	}
	if err := g.network.Send(context.Background(), from, wigeonshift.EndpointsAsk{Have: localRevision}); err != nil {
		g.log.WithError(err).WithField("from", from.ID).Warn("failed to request the endpoints from a peer")
	}
}

// fetchNewerQuarantine queries the store for crashes again if a peer knows of a change that the store has not delivered
// here.
func (g *Gateway) fetchNewerQuarantine(from wigeonshift.Instance, peerRevision uint64) {
	_, localRevision := g.follower.QuarantineRevision()
	if !g.quarantineRequests.shouldRequest(from.ID, peerRevision, localRevision, time.Now()) {
		return
	}
	g.log.WithFields(logrus.Fields{"from": from.ID, "revision": peerRevision, "own": localRevision}).
		Info("a peer has newer crashes; checking the store")
	g.follower.RepollQuarantine()
}

// sendEndpoints sends the endpoints to a peer that requested them, unless the peer already has this or a newer revision.
func (g *Gateway) sendEndpoints(from wigeonshift.Instance, peerRevision uint64) {
	snapshot := g.follower.EndpointsSnapshot()
	if snapshot.Revision <= peerRevision {
		return
	}
	if g.knowsInstances.Load() {
		snapshot.Instances = g.membership.all()
	}
	if err := g.network.Send(context.Background(), from, snapshot); err != nil {
		g.log.WithError(err).WithField("to", from.ID).Warn("failed to send the endpoints to a peer")
	}
}

// sendConfiguration sends the configuration in force to a peer that requested it, unless the peer already has this or a
// newer version.
func (g *Gateway) sendConfiguration(from wigeonshift.Instance, peerVersion uint64) {
	table := g.relay.Table()
	if table == nil || table.Configuration.Version <= peerVersion {
		return
	}
	g.mu.Lock()
	document := g.document
	g.mu.Unlock()
	snapshot := wigeonshift.ConfigurationSnapshot{Version: table.Configuration.Version, Document: document}
	if err := g.network.Send(context.Background(), from, snapshot); err != nil {
		g.log.WithError(err).WithField("to", from.ID).Warn("failed to send the configuration to a peer")
	}
}

// useInstances adds the instances that a peer knows, unless this instance knows them all already.
func (g *Gateway) useInstances(from wigeonshift.Instance, instances []wigeonshift.Instance) {
	if len(instances) == 0 || g.knowsInstances.Swap(true) {
		return
	}
	all := g.membership.merge(instances, time.Now())
	g.log.WithFields(logrus.Fields{"from": from.ID, "instances": len(all)}).Info("using the instances received from a peer")
	g.applyInstances(all)
}

// handlePeerDiscovered adds an instance that a peer session has shown to run, even if the store doesn't list it.
func (g *Gateway) handlePeerDiscovered(i wigeonshift.Instance) {
	instances, added := g.membership.add(i, time.Now())
	if !added {
		return
	}
	g.log.WithFields(logrus.Fields{"instance": i.ID, "address": i.Address, "zone": i.Zone}).Info("peer discovered")
	g.applyInstances(instances)
}

// handlePeerLost discards the load of an instance whose session ended.
func (g *Gateway) handlePeerLost(i wigeonshift.Instance) {
	g.log.WithField("instance", i.ID).Info("peer lost")
	g.dispatcher.RemovePeer(i.ID)
}
