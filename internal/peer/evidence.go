package peer

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// counterKey names the counters of one process. Those of processes that are over
// are kept, so that sums over a data centre don't fall.
type counterKey struct {
	owner ident.NodeID
	life  uint64
	key   string
}

// SetEvidence publishes this node's counters of a key, merged by maximum.
func (n *Node) SetEvidence(key string, c Counters) error {
	old, _ := n.own[scopeLocal].value(TopicEvidence, key)
	merged := maxOf(slices.Clone(c), decodeCounters(old))
	return n.Set(TopicEvidence, key, encode(&peerv1.Counters{Values: merged, Life: uint64(n.o.Incarnation)}))
}

// Evidence returns the counters of a key summed over all nodes that are known:
// those of the own data centre, and the sums that delegates of others published.
func (n *Node) Evidence(key string) Counters {
	var sum Counters
	for _, s := range n.localSums() {
		if s.key == key {
			sum = s.sum
		}
	}
	others := make(map[string]Counters)
	for _, e := range n.Entries(TopicEvidenceSum) {
		dc, k, _ := strings.Cut(e.Key, evidenceSeparator)
		if k == key && dc != string(n.o.DataCentre) {
			others[dc] = maxOf(others[dc], decodeCounters(e.Value))
		}
	}
	for _, c := range others {
		sum = add(sum, c)
	}
	return sum
}

const evidenceSeparator = "\x00"

func evidenceKey(dc ident.DataCentre, key string) string {
	return string(dc) + evidenceSeparator + key
}

type evidenceSum struct {
	key string
	sum Counters
}

// localSums returns the sums over the data centre, lives that are over included,
// ordered by key. A delegate that knew more lives may have published a greater one.
func (n *Node) localSums() []evidenceSum {
	byProcess := maps.Clone(n.retired)
	for _, r := range n.logs.order {
		for _, e := range r.entries {
			merge(byProcess, r.owner, e)
		}
	}
	sums := make(map[string]Counters)
	for k, c := range byProcess {
		sums[k.key] = add(sums[k.key], c)
	}
	for _, e := range n.Entries(TopicEvidenceSum) {
		if dc, k, _ := strings.Cut(e.Key, evidenceSeparator); dc == string(n.o.DataCentre) {
			sums[k] = maxOf(sums[k], decodeCounters(e.Value))
		}
	}
	var out []evidenceSum
	for _, k := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, evidenceSum{k, sums[k]})
	}
	return out
}

// retire keeps the counters of a log that is dropped or begins a new life.
func (n *Node) retire(r *replica) {
	for _, e := range r.entries {
		merge(n.retired, r.owner, e)
	}
}

// merge takes the counters of an entry into a set, by maximum.
func merge(set map[counterKey]Counters, owner ident.NodeID, e *entry) {
	c := new(peerv1.Counters)
	if e.topic != TopicEvidence || e.deleted || proto.Unmarshal(e.value, c) != nil {
		return
	}
	k := counterKey{owner, c.GetLife(), e.key}
	set[k] = maxOf(slices.Clone(set[k]), c.GetValues())
}

// RemoveEvidence drops what is kept of a key whose move has ended.
func (n *Node) RemoveEvidence(key string) {
	maps.DeleteFunc(n.retired, func(k counterKey, _ Counters) bool { return k.key == key })
	n.Delete(TopicEvidence, key)
	n.Delete(TopicEvidenceSum, evidenceKey(n.o.DataCentre, key))
}

func decodeCounters(b []byte) Counters {
	c := new(peerv1.Counters)
	if proto.Unmarshal(b, c) != nil {
		return nil
	}
	return c.GetValues()
}

func add(a, b Counters) Counters {
	a = widen(a, len(b))
	for i, v := range b {
		a[i] += v
	}
	return a
}

func maxOf(a, b Counters) Counters {
	a = widen(a, len(b))
	for i, v := range b {
		a[i] = max(a[i], v)
	}
	return a
}

func widen(c Counters, n int) Counters {
	for len(c) < n {
		c = append(c, 0)
	}
	return c
}
