// Package controller buys and releases the hosts of the services whose
// configuration has a fleet block, and gives fresh engines their first order.
//
// Each service is a duty of its own: a lease, a planner (package fleet) and one
// plan object in the store. One node of each data centre, which rendezvous
// hashing names, is a candidate for the lease; the lease decides.
//
// Invariants:
//
//   - Every purchase, release and order is preceded by a look at the lease. A
//     holder whose lease has lapsed, or that was paused, does nothing more.
//   - Without the store there is no lease, and so no purchase and no release.
//     Without the host list, the reclaim notices or the demand of the service
//     nothing is decided. Where some nodes' demand is missing nothing is drained.
//   - An outcome that isn't known is not taken for one: the same token, release or
//     order is sent again.
//   - A host is released only where its own report, taken after all nodes have
//     heard of the drain, shows no request; or where it could not be reached for
//     longer than any request may last.
//   - An engine that has a version is left to the version moves.
//
// # Sizes
//
// The plan of a service is one object, compressed JSON under "fleet/SERVICE". A
// slot takes up to 60 bytes of it (TestPlanSize), so an object of 1 MB holds the
// plan of more than 15,000 hosts of one service. Beyond that Put refuses the
// plan, the holder says so in its status and buys and releases nothing more. The
// keys allow the split by then: the store lists by prefix, so "fleet/SERVICE/DC"
// holds a plan for each data centre beside an object with the shared counters.
//
// What breaks sooner is the reading of engines by the holder: maxProbes a step,
// each good for readyGrace. Past 1,536 hosts of a service at the default interval
// ready hosts count as not ready, and the holder buys others. A larger service
// needs the load reports that observers share in place of its own reads.
package controller
