// Package site defines the data that describes a deployment: the settings of a node,
// the operator's configuration in force, the endpoints, and the version moves.
//
// The types do not depend on a platform. Adapters decode a platform's formats into
// them, so that no other package depends on its names. Values are immutable once
// published.
package site
