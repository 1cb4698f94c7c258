package gossip

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// withNode calls f with the node under the lock, and queues the changes that it made.
func withNode[T any](s *Service, f func(*peer.Node) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.queueChanges()
	return f(s.mu.node)
}

// Members returns the members of the data centre, ordered by ID.
func (s *Service) Members() []peer.Member { return withNode(s, (*peer.Node).Members) }

// DataCentres returns the most recent aggregate of each data centre, ordered by name.
func (s *Service) DataCentres() []peer.DataCentre { return withNode(s, (*peer.Node).DataCentres) }

// FleetSize returns the number of nodes that share the limits of the fleet.
func (s *Service) FleetSize() int { return withNode(s, (*peer.Node).FleetSize) }

// IsDelegate reports whether this node is a delegate of its data centre.
func (s *Service) IsDelegate() bool { return withNode(s, (*peer.Node).IsDelegate) }

// Mark merges marks and sends the changed ones to peers at once.
func (s *Service) Mark(marks ...peer.Mark) {
	s.step(func(n *peer.Node, now time.Time) []peer.Send { return n.Mark(now, marks...) })
}

// Marks returns all marks, ordered by kind and subject.
func (s *Service) Marks() []peer.Mark { return withNode(s, (*peer.Node).Marks) }

// Marked returns the highest number marked for a subject.
func (s *Service) Marked(k peer.MarkKind, subject string) (number uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.node.Marked(k, subject)
}

// Leaving reports whether an endpoint is marked as leaving in the given incarnation or
// a later one.
func (s *Service) Leaving(id ident.EndpointID, inc ident.Incarnation) bool {
	return withNode(s, func(n *peer.Node) bool { return n.Leaving(id, inc) })
}

// HostLeaving reports whether a host is marked as leaving in the given incarnation or
// a later one.
func (s *Service) HostLeaving(h ident.Host, inc ident.Incarnation) bool {
	return withNode(s, func(n *peer.Node) bool { return n.HostLeaving(h, inc) })
}

// Set publishes a value in this node's own log. It returns peer.ErrLogFull if the value
// doesn't fit.
func (s *Service) Set(t peer.Topic, key string, value []byte) error {
	return withNode(s, func(n *peer.Node) error { return n.Set(t, key, value) })
}

// Delete deletes a value from this node's own log.
func (s *Service) Delete(t peer.Topic, key string) {
	withNode(s, func(n *peer.Node) any { n.Delete(t, key); return nil })
}

// Entries returns the values of a topic, ordered by owner and sequence.
func (s *Service) Entries(t peer.Topic) []peer.Entry {
	return withNode(s, func(n *peer.Node) []peer.Entry { return n.Entries(t) })
}

// SetRevision publishes the configuration revision in force on this node.
func (s *Service) SetRevision(r ident.Revision) {
	withNode(s, func(n *peer.Node) any { n.SetRevision(r); return nil })
}

// SetEvidence publishes this node's counters of a key. It returns peer.ErrLogFull if
// they don't fit.
func (s *Service) SetEvidence(key string, c peer.Counters) error {
	return withNode(s, func(n *peer.Node) error { return n.SetEvidence(key, c) })
}

// Evidence returns the counters of a key summed over all known nodes.
func (s *Service) Evidence(key string) peer.Counters {
	return withNode(s, func(n *peer.Node) peer.Counters { return n.Evidence(key) })
}

// RemoveEvidence removes the counters of a key whose version move has ended.
func (s *Service) RemoveEvidence(key string) {
	withNode(s, func(n *peer.Node) any { n.RemoveEvidence(key); return nil })
}
