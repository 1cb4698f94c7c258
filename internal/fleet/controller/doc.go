// Package controller buys and releases the hosts of all services that have a fleet
// block in their configuration, and sends new engines their first order.
//
// Each service is a separate duty with its own lease, planner (package fleet) and plan
// object in the store. In each data centre one node, chosen by rendezvous hashing, is a
// candidate for the lease. The holder of the lease acts.
//
// Invariants:
//
//   - The lease is checked before every purchase, release and order. A holder whose
//     lease has expired, or that was paused, does nothing more.
//   - Without the store there is no lease, and so no purchase and no release. Without
//     the host list, the reclaim notices or the demand of the service no decision is
//     made. While the demand at some nodes is missing, nothing is drained.
//   - While an outcome is unknown, the same purchase token, release or order is sent
//     again.
//   - A host is released only if its own load report, made after the drain has reached
//     all nodes, shows no requests, or if the host was unreachable for longer than any
//     request may last.
//   - The version of an engine that has one is changed by version moves only.
//
// # Sizes
//
// The plan of a service is one object, compressed JSON under "fleet/SERVICE". A slot
// takes up to 60 bytes of it (TestPlanSize), so an object of 1 MB can contain the plan
// of more than 15,000 hosts of one service. Beyond that Put rejects the plan, the holder
// reports it in its status and buys and releases nothing more. The keys allow plans to
// be split: the store lists by prefix, so "fleet/SERVICE/DC" could contain a plan for
// each data centre beside an object with the shared counters.
//
// The holder's polling of engines reaches its limit sooner: it polls maxProbes hosts a
// step, and a result is valid for readyGrace. With more than 1,536 hosts of a service at
// the default interval some ready hosts would count as not ready, and the holder would
// buy others. A larger service needs the load reports that observers share instead of
// the holder's own polling.
package controller
