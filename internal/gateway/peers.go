package gateway

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// localState returns the node state that this node sends to the others.
func (n *Node) localState() sharing.NodeState {
	own := sharing.NodeState{
		StoreEra: n.platform.Store.Era(), Departures: n.endpoints.Departures(), Reports: n.executor.WrittenReports(),
		ConfigVersion: n.currentConfig.Version(), Leaving: n.draining.Load(), StoreVersion: n.endpointWatcher.LastVersion(), StoreUnreachable: n.endpointWatcher.SourceUnreachable() || n.configWatcher.SourceUnreachable(),
		LostServices: n.transport.LostServices(),
	}
	own.Spent, own.Loads, own.PrefixLocations = n.state.localReport()
	own.Quarantine = n.guard.report()
	own.Limits = n.state.limitReport()
	own.Speeds = n.state.speedReport()
	own.Cold, own.DataCentre = n.state.coldReport(), n.settings.DataCentre
	if n.evacuations != nil {
		own.Evacuations = n.evacuations.statements()
	}
	own.Windows = n.usageTable.LocalCounts()
	n.versions.addLocalState(&own)
	return own
}

// mergePeerStates applies node states newly received from other nodes.
func (n *Node) mergePeerStates(now time.Time, fresh []sharing.NodeState) {
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	for _, peer := range fresh {
		n.platform.Store.ObserveEra(peer.StoreEra)
		n.endpoints.RecordDepartures(peer.Departures)
		n.executor.RecordReports(peer.Reports)
		n.guard.merge(peer.Incarnation, peer.Quarantine)
		n.state.mergeLimits(peer.Limits)
		n.state.mergeCold(now, peer.Cold)
		n.state.mergeSpeeds(now, peer.Incarnation, peer.Speeds)
		if n.evacuations != nil {
			n.evacuations.merge(peer.Evacuations)
		}
		n.state.recordPeerReport(now, peer.Incarnation, peer.AsOf, peer.Spent, peer.PrefixLocations)
		n.usageTable.MergeNode(string(peer.Incarnation.Node), uint64(peer.Incarnation.Incarnation), peer.AsOf, peer.Windows)
		if peer.ConfigVersion > n.currentConfig.Version() {
			n.sharing.FetchConfig(peer.Address)
		}
		n.peerVersion = max(n.peerVersion, peer.StoreVersion)
		n.peerConfigVersion = max(n.peerConfigVersion, peer.ConfigVersion)
	}
}

// updatePeers applies the latest loads and version evidence of all other nodes, as often as their
// states arrive.
func (n *Node) updatePeers(now time.Time) {
	if interval := n.sharing.Interval(); interval > sharing.DefaultInterval && now.Sub(n.loadsUpdated) < interval-tickInterval/2 {
		return
	}
	n.loadsUpdated = now
	loads := make(map[ident.EndpointID]placement.Load)
	states := n.sharing.Peers(maxPeerLoadAge)
	n.versions.recordPeerStates(n.sharing.Peers(sharing.StateRetention))
	for _, peer := range states {
		for id, l := range peer.Loads {
			sum := loads[id]
			loads[id] = placement.Load{Running: sum.Running + l.Running, PrefillTokens: sum.PrefillTokens + l.PrefillTokens, ContextTokens: sum.ContextTokens + l.ContextTokens}
		}
	}
	n.state.setPeerLoads(loads, len(states)+1)
	if n.state.dividesLimits() {
		n.state.setLiveNodes(n.liveNodes())
	}
}

// relayingNodes returns the addresses of the other nodes that reach endpoints of a service and
// can send requests with some homes to them for this one. A request with homes goes through no
// node of another region.
func (n *Node) relayingNodes(s ident.Service, homes site.Homes) []string {
	var out []string
	for _, peer := range n.sharing.Peers(n.relayTimeout()) {
		if !peer.Leaving && !slices.Contains(peer.LostServices, s) && n.settings.Regions.Allow(homes, peer.DataCentre) {
			out = append(out, peer.Address)
		}
	}
	return out
}

// nodesWithShares returns the addresses of those of the named nodes that can spend their shares of
// endpoints for this one. Older builds, which don't state their data centre, can't.
func (n *Node) nodesWithShares(names []ident.NodeID, homes site.Homes) []string {
	var out []string
	for _, peer := range n.sharing.Peers(n.relayTimeout()) {
		if !peer.Leaving && peer.DataCentre != "" && slices.Contains(names, peer.Incarnation.Node) && n.settings.Regions.Allow(homes, peer.DataCentre) {
			out = append(out, peer.Address)
		}
	}
	return out
}

// liveTimeout is the age of a node state up to which its node counts as live.
const liveTimeout = 3 * time.Second

// LivePeers returns the number of other live nodes.
func (n *Node) LivePeers() int { return len(n.sharing.Peers(liveTimeout)) }

// liveNodes returns the IDs of the live nodes, this one included.
func (n *Node) liveNodes() []string {
	out := []string{string(n.self.Node)}
	for _, peer := range n.sharing.Peers(liveTimeout) {
		out = append(out, string(peer.Incarnation.Node))
	}
	return out
}

// catchUpTime is how long a node that starts waits for what the other nodes know, if none
// responds: somewhat longer than the timeout of an exchange.
const catchUpTime = 450 * time.Millisecond

// catchUp ends the start of a node, in which it serves no requests: a store that was just
// restored from a copy may give it an older configuration, and endpoints that have left
// since. The node first learns from another one what is newer.
func (n *Node) catchUp(now time.Time) {
	if n.caughtUp.Load() {
		return
	}
	n.peersMu.Lock()
	current := n.sharing.Exchanged() && n.currentConfig.Version() >= n.peerConfigVersion
	n.peersMu.Unlock()
	current = current && (n.evacuations == nil || n.evacuations.listed.Load())
	if (current || now.Sub(n.startedAt) > catchUpTime) && n.caughtUp.CompareAndSwap(false, true) {
		n.state.serve()
		n.log.Info("gateway: Serving.", "config", n.currentConfig.Version(), "from_peers", current, "took_ms", now.Sub(n.startedAt).Milliseconds())
	}
}
