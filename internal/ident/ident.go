// Package ident defines the typed identifiers that the other packages share.
package ident

import (
	"fmt"
	"strings"
)

// NodeID names one entry process. It stays the same when a node restarts with the same
// address; its Incarnation distinguishes the restarts.
type NodeID string

// Host names one host of the platform.
type Host string

// DataCentre names a failure zone; all of its hosts may be reclaimed at once.
type DataCentre string

// Workspace names a customer (tenant).
type Workspace string

// EndpointID names one endpoint: a model engine or a plain service process.
type EndpointID string

// Service names a group of endpoints that serve the same model or application.
type Service string

// Version names one version of a service.
type Version string

// RouteName names a route of the configuration.
type RouteName string

// MoveName names a version move of the configuration.
type MoveName string

// RequestID names one request of a caller; it is unique across the fleet.
type RequestID string

// AttemptID names one dispatch of a request to an endpoint.
type AttemptID string

// Incarnation identifies one start of a node, host or endpoint. A later start has a
// higher value.
type Incarnation uint64

// Epoch is a fencing token: it increases each time a lease changes its holder.
type Epoch uint64

// Revision numbers the accepted configurations. It never decreases.
type Revision uint64

// Class is the priority class of a request. It also determines whether the request may
// wait and whether it may be repeated.
type Class uint8

// The request classes.
const (
	ClassUnknown Class = iota
	ClassQuick         // interactive chat: time to first token matters most
	ClassLong          // drafts and design sessions: may wait, must complete
	ClassOrder         // orders and payments: executed at most once
	ClassLookup        // catalogue reads: idempotent
)

// Classes lists the valid classes. Under overload the last class is shed first.
var Classes = []Class{ClassOrder, ClassQuick, ClassLookup, ClassLong}

var classNames = map[Class]string{
	ClassUnknown: "unknown",
	ClassQuick:   "quick",
	ClassLong:    "long",
	ClassOrder:   "order",
	ClassLookup:  "lookup",
}

// String returns the name used in the configuration and in metrics.
func (c Class) String() string {
	return classNames[c]
}

// MarshalText returns the name of the class.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses the name of a class. It accepts "unknown" as well.
func (c *Class) UnmarshalText(b []byte) error {
	parsed, err := ParseClass(string(b))
	if err != nil && string(b) != classNames[ClassUnknown] {
		return err
	}
	*c = parsed
	return nil
}

// ParseClass returns the class with the given name. It returns an error if s is not the
// name of a valid class.
func ParseClass(s string) (Class, error) {
	for _, c := range Classes {
		if classNames[c] == s {
			return c, nil
		}
	}
	return ClassUnknown, fmt.Errorf("class %q is not one of %s", s, strings.Join(ClassNames(), ", "))
}

// ClassNames returns the names of the valid classes.
func ClassNames() []string {
	names := make([]string, 0, len(Classes))
	for _, c := range Classes {
		names = append(names, c.String())
	}
	return names
}
