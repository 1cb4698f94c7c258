package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/dispatch"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/move/mover"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/route"
)

const (
	// exchangeInterval is the time between two exchanges of evidence with peers.
	exchangeInterval = time.Second
	// evidenceSeparator separates service, version and route in the key of shared
	// evidence.
	evidenceSeparator = "\x1f"
	// otherNodes represents all other nodes as one source of evidence.
	otherNodes ident.NodeID = "*"
)

// moves runs the version moves on this node and exchanges evidence, marks and
// records with the peers.
type moves struct {
	mover  *mover.Mover
	peers  *peers
	loop   *kernel.Loop
	cancel context.CancelFunc
	done   chan struct{}

	evidenceRemoved map[ident.MoveName]bool // ended moves whose evidence was removed; used by the loop only
}

var _ dispatch.Versions = (*moves)(nil)

func newMoves(p *peers, opts mover.Options) *moves {
	m := &moves{mover: mover.New(opts), peers: p, done: make(chan struct{}), evidenceRemoved: make(map[ident.MoveName]bool)}
	m.loop = kernel.NewLoop(exchangeInterval, func(context.Context) {
		m.publish()
		m.mergePeerEvidence()
	})
	return m
}

// Start runs the moves and the exchange with the peers in the background.
func (m *moves) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.mover.Run(ctx) // ends only with ctx
	}()
	return m.loop.Start(ctx)
}

// Stop ends the moves and the exchange with the peers.
func (m *moves) Stop(ctx context.Context) error {
	m.cancel()
	<-m.done
	return m.loop.Stop(ctx)
}

// Shares returns the versions that may receive new requests of a service, with their
// weights. If one version has no endpoints, only the version that the move starts from
// may receive the requests of the other.
func (m *moves) Shares(service ident.Service) []route.Share {
	split, ok := m.mover.Split(service)
	if !ok {
		return m.configured(service)
	}
	from := route.Share{Version: split.From, Weight: float64(move.FullShare - split.Share), Fallback: true}
	if split.To == "" {
		return []route.Share{from}
	}
	return []route.Share{from, {Version: split.To, Weight: float64(split.Share)}}
}

// Shadow decides at random whether a copy of a request is sent to the version that
// does not serve it, and returns that version.
func (m *moves) Shadow(service ident.Service, answering ident.Version) (ident.Version, bool) {
	split, ok := m.mover.Split(service)
	if !ok || split.To == "" || split.Shadow == 0 || rand.IntN(int(move.FullShare)) >= int(split.Shadow) {
		return "", false
	}
	if answering == split.To {
		return split.From, true
	}
	return split.To, true
}

// configured returns the version in the configuration. It is used while the state of
// the moves is not known.
func (m *moves) configured(service ident.Service) []route.Share {
	cfg := m.peers.config.Current()
	if cfg == nil {
		return nil
	}
	return []route.Share{{Version: cfg.Services[service].Version, Weight: 1}}
}

// Record counts the outcome of an attempt as evidence.
func (m *moves) Record(o move.Outcome) {
	m.mover.Record(o)
}

// publish shares this node's evidence, and all marks and records that it knows, with
// the peers.
func (m *moves) publish() {
	m.removeEndedEvidence()
	for _, e := range m.mover.LocalEvidence() {
		if err := m.peers.gossip.SetEvidence(evidenceKey(e.Key), e.Counter.Flatten()); err != nil {
			m.peers.log.Warn("move: Evidence can't be shared.", "service", string(e.Key.Service), "error", err)
		}
	}
	marks, records := m.mover.Decisions()
	for _, mark := range marks {
		m.shareMark(peer.MarkBadVersion, mark.Move, 1, mark)
	}
	for _, r := range records {
		m.shareMark(peer.MarkMoveRecord, r.Move, r.Sequence, r)
	}
}

// removeEndedEvidence removes the shared evidence of moves that have ended.
func (m *moves) removeEndedEvidence() {
	cfg := m.peers.config.Current()
	if cfg == nil {
		return
	}
	for _, st := range m.mover.Statuses() {
		if !st.State.Terminal() || m.evidenceRemoved[st.Move] {
			continue
		}
		m.evidenceRemoved[st.Move] = true
		for name, r := range cfg.Routes {
			for _, v := range []ident.Version{st.From, st.To} {
				if r.Service == st.Service {
					m.peers.gossip.RemoveEvidence(evidenceKey(move.Key{Service: st.Service, Version: v, Route: name}))
				}
			}
		}
	}
}

func (m *moves) shareMark(kind peer.MarkKind, name ident.MoveName, number uint64, v any) {
	if known, ok := m.peers.gossip.Marked(kind, string(name)); ok && known >= number {
		return
	}
	raw, err := json.Marshal(v)
	if err != nil {
		m.peers.log.Error("move: Decision can't be encoded.", "move", string(name), "error", err)
		return
	}
	m.peers.gossip.Mark(peer.Mark{Kind: kind, Subject: string(name), Number: number, Value: raw})
}

// applyMark applies a mark or record shared by a peer.
func (m *moves) applyMark(pm peer.Mark) {
	var err error
	switch pm.Kind {
	case peer.MarkBadVersion:
		var mark move.Mark
		if err = json.Unmarshal(pm.Value, &mark); err == nil {
			m.mover.MergeMark(mark)
		}
	case peer.MarkMoveRecord:
		var r move.Record
		if err = json.Unmarshal(pm.Value, &r); err == nil {
			m.mover.MergeRecord(r)
		}
	}
	if err != nil {
		m.peers.log.Warn("move: Decision of a peer is malformed.", "move", pm.Subject, "error", err)
	}
}

// mergePeerEvidence passes the counts of all other nodes to the mover, as one source.
func (m *moves) mergePeerEvidence() {
	own := make(map[move.Key][]uint64)
	for _, e := range m.mover.LocalEvidence() {
		own[withoutSource(e.Key)] = e.Counter.Flatten()
	}
	var entries []move.Entry
	for _, key := range m.evidenceKeys() {
		sum := m.peers.gossip.Evidence(evidenceKey(key))
		if len(sum) == 0 {
			continue
		}
		e := move.Entry{Key: key, Counter: move.Unflatten(sum, own[key])}
		e.Key.Source.Node = otherNodes
		entries = append(entries, e)
	}
	m.mover.MergeEvidence(entries)
}

// evidenceKeys returns the keys of all evidence for the moves in the configuration.
func (m *moves) evidenceKeys() []move.Key {
	cfg := m.peers.config.Current()
	if cfg == nil {
		return nil
	}
	var keys []move.Key
	for _, mv := range cfg.Moves {
		for name, r := range cfg.Routes {
			if r.Service != mv.Service {
				continue
			}
			for _, v := range []ident.Version{mv.From, mv.To} {
				keys = append(keys, move.Key{Service: mv.Service, Version: v, Route: name})
			}
		}
	}
	return keys
}

func withoutSource(k move.Key) move.Key {
	k.Source = move.Source{}
	return k
}

func evidenceKey(k move.Key) string {
	return strings.Join([]string{string(k.Service), string(k.Version), string(k.Route)}, evidenceSeparator)
}
