// Package serve is the data plane. For each request it resolves workspace and route,
// charges the workspace's limit, chooses an endpoint and dispatches attempts until
// the caller has a response, or a refusal that states whether the request has run.
//
// The package knows no wire format: adapters implement Writer for the caller's side
// and Transport for the endpoint's side.
package serve
