// Package site holds what a node knows of the deployment that it serves: its
// settings, the operator's configuration in force, the endpoints and the versions
// to move to.
//
// The types are those of the product. Adapters decode whatever a platform speaks
// into them, so that nothing else has to know a platform's names. Values are
// immutable once published.
package site
