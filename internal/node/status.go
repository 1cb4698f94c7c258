package node

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/fleet/controller"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/operator"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/gossip"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// statusTimeout is the maximum time for each read of status from the store.
const statusTimeout = time.Second

// statusSource provides the operators' API with the node's view of the fleet.
type statusSource struct {
	opts     *Options
	config   *configService
	hosts    *discovery.Watcher
	balancer *balancer.Balancer
	gossip   *gossip.Service
	moves    *moves
	ledger   *committer.Committer
	fleet    *controller.Controller
}

var _ operator.Source = (*statusSource)(nil)

// Status returns the node's view of the fleet.
func (s *statusSource) Status(ctx context.Context) (*operators.Status, error) {
	st := &operators.Status{
		Node:       string(s.opts.ID),
		DataCentre: string(s.opts.DataCentre),
		Revision:   int64(s.config.Revision()),
		Members:    s.members(),
		Endpoints:  s.endpoints(),
		Files:      s.files(ctx),
		Fleet:      s.fleetStatus(ctx),
	}
	st.Everywhere = s.everywhere()
	return st, nil
}

// members returns the nodes of this data centre.
func (s *statusSource) members() []operators.Member {
	out := []operators.Member{}
	for _, m := range s.gossip.Members() {
		om := operators.Member{
			Node: string(m.ID), DataCentre: string(m.DataCentre), State: m.State.String(), Revision: int64(m.Revision),
		}
		om.Address.SetTo(m.Address)
		out = append(out, om)
	}
	return out
}

// everywhere reports whether all live nodes are known to have this node's revision of
// the configuration in force.
func (s *statusSource) everywhere() bool {
	own := s.config.Revision()
	for _, m := range s.gossip.Members() {
		if m.State == peer.StateAlive && m.Revision != own {
			return false
		}
	}
	for _, dc := range s.gossip.DataCentres() {
		if dc.Alive > 0 && (dc.MinRevision != own || dc.MaxRevision != own) {
			return false
		}
	}
	return own > 0
}

func (s *statusSource) endpoints() []operators.Endpoint {
	out := []operators.Endpoint{}
	for _, h := range s.hosts.Hosts() {
		for _, e := range h.Endpoints {
			state := operators.EndpointStateLive
			if h.State == platformapi.HostLeaving || s.balancer.IsLeaving(e.ID) {
				state = operators.EndpointStateLeaving
			}
			out = append(out, operators.Endpoint{
				Endpoint: string(e.ID), Host: string(h.Host), DataCentre: string(h.DataCentre),
				Service: string(e.Service), Version: string(e.Version), State: state,
			})
		}
	}
	return out
}

// files returns the status of the operators' configuration files, or none if the store
// is unreachable.
func (s *statusSource) files(ctx context.Context) []operators.FileStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := []operators.FileStatus{}
	st, err := s.config.Status(ctx)
	if err != nil {
		return out
	}
	for _, f := range st.Files {
		fs := operators.FileStatus{File: f.Name, State: string(f.State), Revision: operators.NewOptInt64(int64(f.Revision))}
		if reason := fileReason(f); reason != "" {
			fs.Reason.SetTo(reason)
		}
		out = append(out, fs)
	}
	return out
}

// fileReason returns the reason why a file, or a part of it, is not in force, or an
// empty string if there is none.
func fileReason(f config.FileStatus) string {
	for _, d := range f.Diagnostics {
		return d.Message
	}
	for _, o := range f.OverriddenBy {
		return o.Object + " is overridden by " + o.By
	}
	return ""
}

// Moves returns the version moves.
func (s *statusSource) Moves(context.Context) ([]operators.Move, error) {
	out := []operators.Move{}
	for _, st := range s.moves.mover.Statuses() {
		m := operators.Move{
			Name: string(st.Move), Service: string(st.Service), From: string(st.From), To: string(st.To),
			State: string(st.State), Share: float64(st.Share) / float64(move.FullShare), Reason: st.Reason, Next: st.Next,
		}
		for _, f := range st.Evidence {
			m.Evidence = append(m.Evidence, operators.Evidence{Finding: f.String()})
		}
		out = append(out, m)
	}
	return out, nil
}

// Unconfirmed returns the orders without a recorded outcome.
func (s *statusSource) Unconfirmed(ctx context.Context) ([]operators.UnconfirmedOrder, error) {
	open, err := s.ledger.OpenClaims(ctx)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeStore, err)
	}
	out := []operators.UnconfirmedOrder{}
	for _, o := range open {
		state := operators.UnconfirmedOrderStateRunning
		if o.Unconfirmed {
			state = operators.UnconfirmedOrderStateUnconfirmed
		}
		out = append(out, operators.UnconfirmedOrder{
			Workspace: string(o.Key.Workspace), Key: o.Key.Name, Node: string(o.Node), Claimed: o.Claimed, State: state,
		})
	}
	return out, nil
}
