package peer

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// counterKey identifies the counters of one process. Those of ended processes are
// retained, so that the sums over a data centre don't decrease.
type counterKey struct {
	owner       ident.NodeID
	incarnation uint64
	key         string
}

// SetEvidence publishes this node's counters of a key, merged by maximum with those
// published before. It returns ErrLogFull if they don't fit.
func (n *Node) SetEvidence(key string, c Counters) error {
	old, _ := n.own[scopeLocal].value(TopicEvidence, key)
	merged := maxOf(slices.Clone(c), decodeCounters(old))
	return n.Set(TopicEvidence, key, encode(&peerv1.Counters{Values: merged, Life: uint64(n.o.Incarnation)}))
}

// Evidence returns the counters of a key summed over all known nodes: those of this
// node's data centre, and the sums published by the delegates of others.
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

// localSums returns the sums over the data centre, ended processes included, ordered
// by key. A delegate that has counters of more processes may have published a greater
// sum, which is then returned.
func (n *Node) localSums() []evidenceSum {
	byProcess := maps.Clone(n.endedCounters)
	for _, r := range n.logs.order {
		for _, e := range r.entries {
			mergeCounters(byProcess, r.owner, e)
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

// keepCounters retains the counters of a log that is dropped or starts a new
// incarnation.
func (n *Node) keepCounters(r *replica) {
	for _, e := range r.entries {
		mergeCounters(n.endedCounters, r.owner, e)
	}
}

// mergeCounters merges the counters of an entry by maximum. Entries of other topics,
// deleted and malformed ones are ignored.
func mergeCounters(counters map[counterKey]Counters, owner ident.NodeID, e *entry) {
	c := new(peerv1.Counters)
	if e.topic != TopicEvidence || e.deleted || proto.Unmarshal(e.value, c) != nil {
		return
	}
	k := counterKey{owner, c.GetLife(), e.key}
	counters[k] = maxOf(slices.Clone(counters[k]), c.GetValues())
}

// RemoveEvidence removes the counters of a key whose version move has ended.
func (n *Node) RemoveEvidence(key string) {
	maps.DeleteFunc(n.endedCounters, func(k counterKey, _ Counters) bool { return k.key == key })
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
	a = extend(a, len(b))
	for i, v := range b {
		a[i] += v
	}
	return a
}

func maxOf(a, b Counters) Counters {
	a = extend(a, len(b))
	for i, v := range b {
		a[i] = max(a[i], v)
	}
	return a
}

func extend(c Counters, n int) Counters {
	for len(c) < n {
		c = append(c, 0)
	}
	return c
}
