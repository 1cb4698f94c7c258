// Package reach decides whether a node has lost its paths to the endpoints of a service, and
// through which other node it reaches them then.
//
// Pattern: gray failure. A node that is partitioned from all endpoints looks healthy to its
// callers, to the balancer and to the other nodes, and fails every request. Single failures
// don't show that: endpoints crash, are silent for a second, or refuse connections. A node
// suspects its paths if several endpoints can't be connected to, if one can't while none is heard
// of, or if requests wait at several endpoints and no byte comes from any. It then probes some
// endpoints, and only if it can connect to none of them, its paths are lost. While they are, it
// probes on. A node whose endpoints have all ended looks the same to itself; that no other node
// reaches them either shows the difference.
//
// Paths and Relays are deterministic state machines; package relay drives them.
//
// Invariants:
//   - Paths are not lost if the last round of probes has connected to most of its endpoints, and
//     are lost if it has connected to none.
//   - The time between two rounds of probes has a lower bound, whatever fails.
package reach
