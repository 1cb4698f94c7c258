package node

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	observev1 "github.com/jujubeshed/jujubeshed/api/gen/observe/v1"
	"github.com/jujubeshed/jujubeshed/internal/admit/gate"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/handover"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/observe"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/gossip"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
)

const (
	// kindConfig and kindHosts are the kinds of data that peers fetch: updates to a
	// newer configuration, and the host list.
	kindConfig = "config"
	kindHosts  = "hosts"
	// relayDelay is the time added to the age of a load report for its way between
	// nodes.
	relayDelay = time.Second
	// refreshInterval is the time between two periodic updates of the components that
	// depend on the membership. Changes of the membership cause further updates.
	refreshInterval = 10 * time.Second
	// initialReadTime is how long after its start a node reads the platform even if it
	// is not a delegate.
	initialReadTime = 15 * time.Second
)

// peers applies the state shared by peers to the components of the node, and shares
// the node's own.
type peers struct {
	opts     *Options
	log      *slog.Logger
	gossip   *gossip.Service
	balancer *balancer.Balancer
	observer *observe.Observer
	hosts    *discovery.Watcher
	config   *configService
	moves    *moves
	gate     *gate.Gate
	ledger   *committer.Committer
	reclaim  *reclaimTracker
	started  time.Time
}

var (
	_ handover.Members = (*peers)(nil)
	_ observe.Consumer = (*peers)(nil)
)

// connect subscribes to changes of the shared state and provides the data that peers
// fetch.
func (p *peers) connect() {
	p.started = time.Now()
	p.gossip.Provide(kindConfig, p.provideConfig)
	p.gossip.Provide(kindHosts, p.provideHosts)
	p.gossip.OnChange(p.applyChanges)
}

// applyChanges applies a batch of changes of the shared state.
func (p *peers) applyChanges(changes []peer.Change) {
	members := false
	for _, c := range changes {
		switch c.Kind {
		case peer.ChangeMember:
			members = true
			p.applyMember(c.Member)
		case peer.ChangeEntry:
			p.applyEntry(c.Entry)
		case peer.ChangeMark:
			p.applyMark(c.Mark)
		case peer.ChangeRefuted:
		}
	}
	if members {
		p.refreshMembership()
	}
}

// applyMember informs the ledger if an incarnation of a node has ended.
func (p *peers) applyMember(m peer.Member) {
	if m.State == peer.StateGone || m.State == peer.StateLeft {
		p.ledger.NodeGone(m.ID, m.Incarnation)
	}
}

// refreshMembership updates the components with the current membership.
func (p *peers) refreshMembership() {
	local := p.localIDs()
	live := p.liveNodes(len(local))
	p.balancer.SetNodes(route.Nodes{Live: live, Local: local})
	p.observer.SetNodes(local)
	p.gate.SetLiveNodes(live)
	p.config.SetWatching(p.readsPlatform())
}

// readsPlatform reports whether this node reads the platform for its data centre, as
// delegates do, and nodes that started recently and may not know their peers yet.
func (p *peers) readsPlatform() bool {
	return p.gossip.IsDelegate() || time.Since(p.started) < initialReadTime
}

// localIDs returns the live nodes of this data centre, including this node, in order.
func (p *peers) localIDs() []ident.NodeID {
	ids := []ident.NodeID{p.opts.ID}
	for _, m := range p.Local() {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// liveNodes returns the number of live nodes in all data centres, given the number in
// this data centre.
func (p *peers) liveNodes(local int) int {
	live := local
	for _, dc := range p.gossip.DataCentres() {
		if dc.Name != p.opts.DataCentre {
			live += dc.Alive
		}
	}
	return live
}

// Local returns the other live nodes of this data centre.
func (p *peers) Local() []handover.Member {
	var out []handover.Member
	for _, m := range p.gossip.Members() {
		if m.ID != p.opts.ID && m.State == peer.StateAlive {
			out = append(out, handover.Member{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	return out
}

// Delegates returns the delegates of the other data centres. If none are known, as
// right after the start, it returns the seeds instead.
func (p *peers) Delegates() []handover.Member {
	out := p.knownDelegates()
	if len(out) > 0 {
		return out
	}
	for _, address := range p.opts.Seeds {
		out = append(out, handover.Member{ID: ident.NodeID(address), Address: address})
	}
	return out
}

func (p *peers) knownDelegates() []handover.Member {
	var out []handover.Member
	for _, dc := range p.gossip.DataCentres() {
		if dc.Name == p.opts.DataCentre {
			continue
		}
		for _, d := range dc.Delegates {
			out = append(out, handover.Member{ID: d.ID, Address: d.Address, DataCentre: dc.Name})
		}
	}
	return out
}

// applyEntry applies a load report shared by another node.
func (p *peers) applyEntry(e peer.Entry) {
	if e.Topic != peer.TopicLoad || e.Owner == p.opts.ID || e.Value == nil {
		return
	}
	var load observev1.Load
	if err := proto.Unmarshal(e.Value, &load); err != nil {
		p.log.Warn("peer: Load report is malformed.", "node", string(e.Owner), "error", err)
		return
	}
	p.balancer.Report(loadFromProto(ident.EndpointID(e.Key), &load))
}

func loadFromProto(id ident.EndpointID, l *observev1.Load) endpoint.LoadReport {
	return endpoint.LoadReport{
		Endpoint:      id,
		Version:       ident.Version(l.GetVersion()),
		Running:       int(l.GetRunning()),
		Queued:        int(l.GetQueued()),
		QueuedTokens:  int(l.GetQueuedTokens()),
		MaxRunning:    int(l.GetMaxRunning()),
		PrefillPerSec: float64(l.GetPrefillPerSecond()),
		DecodePerSec:  float64(l.GetDecodePerSecond()),
		Age:           time.Duration(l.GetAgeMs())*time.Millisecond + relayDelay,
	}
}

// Report shares a load report read by this node.
func (p *peers) Report(r endpoint.LoadReport) {
	raw, err := proto.Marshal(&observev1.Load{
		Version:          string(r.Version),
		Running:          uint32(r.Running),
		Queued:           uint32(r.Queued),
		QueuedTokens:     uint32(r.QueuedTokens),
		MaxRunning:       uint32(r.MaxRunning),
		PrefillPerSecond: float32(r.PrefillPerSec),
		DecodePerSecond:  float32(r.DecodePerSec),
		AgeMs:            uint32(r.Age.Milliseconds()),
	})
	if err == nil {
		err = p.gossip.Set(peer.TopicLoad, string(r.Endpoint), raw)
	}
	if err != nil {
		p.log.Warn("peer: Load report can't be shared.", "endpoint", string(r.Endpoint), "error", err)
	}
}

// CacheEvents does nothing, as cache events are not shared: a node knows of prefixes
// from its own dispatches and from the endpoints that it observes.
func (p *peers) CacheEvents(ident.EndpointID, endpoint.CacheEvents) {}

// MarkEndpoint shares that an endpoint has reported that it is draining.
func (p *peers) MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState) {
	p.gossip.Mark(peer.Mark{
		Kind: peer.MarkEndpointLeaving, Subject: string(id), Number: uint64(s.Incarnation), Value: encodeTime(s.Deadline),
	})
}

// markHost shares the reclaim notice of a host.
func (p *peers) markHost(n platformapi.Notice) {
	p.gossip.Mark(peer.Mark{
		Kind: peer.MarkHostLeaving, Subject: string(n.Host), Number: uint64(n.Incarnation), Value: encodeTime(n.Deadline),
	})
}

// applyMark applies a mark shared by a peer.
func (p *peers) applyMark(m peer.Mark) {
	switch m.Kind {
	case peer.MarkHostLeaving:
		n := platformapi.Notice{Host: ident.Host(m.Subject), Incarnation: ident.Incarnation(m.Number), Deadline: decodeTime(m.Value)}
		p.balancer.MarkHost(n)
		p.reclaim.handleNotice(n)
	case peer.MarkEndpointLeaving:
		p.balancer.MarkEndpoint(ident.EndpointID(m.Subject), endpoint.LeavingState{
			Leaving: true, Incarnation: ident.Incarnation(m.Number), Deadline: decodeTime(m.Value),
		})
	case peer.MarkRevision:
		go p.catchUp(ident.Revision(m.Number))
	case peer.MarkBadVersion, peer.MarkMoveRecord:
		p.moves.applyMark(m)
	}
}

func encodeTime(t time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(max(t.UnixMilli(), 0)))
}

func decodeTime(b []byte) time.Time {
	if len(b) != 8 {
		return time.Time{}
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
}

// announceRevision announces the revision in force on this node to the peers.
func (p *peers) announceRevision(c *config.Config) {
	p.gossip.SetRevision(c.Revision)
	p.gossip.Mark(peer.Mark{Kind: peer.MarkRevision, Number: uint64(c.Revision)})
}

// provideConfig returns the update from the revision given by name to this node's
// revision.
func (p *peers) provideConfig(_ context.Context, name string) ([]byte, error) {
	since, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "parse revision %q", name)
	}
	message, err := p.config.Message(ident.Revision(since))
	if err != nil {
		return nil, err
	}
	if message == nil {
		return nil, gossip.ErrNotFound
	}
	return message, nil
}

// fetch requests named data from the peers, one after the other, until one has it. It
// returns nil without an error if all peers responded that they don't have it.
func (p *peers) fetch(ctx context.Context, kind, name string) ([]byte, error) {
	var last error
	for _, m := range append(p.Local(), p.Delegates()...) {
		raw, err := p.gossip.FetchFrom(ctx, m.Address, kind, name)
		switch {
		case err == nil:
			return raw, nil
		case !errors.Is(err, gossip.ErrNotFound):
			last = err
		}
	}
	return nil, last
}

// configFromPeers requests the update from a revision to a newer one from the peers.
func (p *peers) configFromPeers(ctx context.Context, since ident.Revision) ([]byte, error) {
	return p.fetch(ctx, kindConfig, strconv.FormatUint(uint64(since), 10))
}

// provideHosts returns the last host list of this node.
func (p *peers) provideHosts(context.Context, string) ([]byte, error) {
	list := p.hosts.Hosts()
	if list == nil {
		return nil, gossip.ErrNotFound
	}
	return json.Marshal(list)
}

// hostsFromPeers requests the host list from the peers.
func (p *peers) hostsFromPeers(ctx context.Context) ([]platformapi.HostInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	raw, err := p.fetch(ctx, kindHosts, "")
	if err != nil {
		return nil, err
	}
	if raw == nil {
		return nil, errors.New("no peer has a host list")
	}
	var list []platformapi.HostInfo
	err = json.Unmarshal(raw, &list)
	return list, errors.Wrap(err, "decode host list of a peer")
}

// catchUp fetches an announced revision from the peers, unless this node already has
// it or a newer one.
func (p *peers) catchUp(r ident.Revision) {
	if p.config.Revision() >= r {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	if err := p.config.CatchUpFromPeers(ctx); err != nil {
		p.log.Warn("config: Announced revision can't be fetched.", "revision", uint64(r), "error", err)
	}
}

// catchUpTimeout is the maximum time for fetching an announced revision or the host
// list from the peers.
const catchUpTimeout = 5 * time.Second
