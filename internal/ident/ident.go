// Package ident holds the typed identifiers that the other packages share.
package ident

import (
	"fmt"
	"strings"
)

// NodeID names one entry process. It stays the same across restarts of a node
// with the same address; an Incarnation tells the restarts apart.
type NodeID string

// Host names one machine of the platform.
type Host string

// DataCentre names a failure zone; all of its hosts may be reclaimed at once.
type DataCentre string

// Workspace names a customer (tenant).
type Workspace string

// EndpointID names one back end: a model engine worker or a plain service process.
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

// Incarnation counts the lives of a node or endpoint. A higher value is a later life.
type Incarnation uint64

// Epoch is a fencing number: it grows each time a lease changes its holder.
type Epoch uint64

// Revision numbers the accepted configurations. It only grows.
type Revision uint64

// Class tells how urgent a request is and what may be done with it.
type Class uint8

// The request classes.
const (
	ClassUnknown Class = iota
	ClassQuick         // interactive chat: first token matters most
	ClassLong          // drafts and design sessions: may wait, must finish
	ClassOrder         // orders and payments: at most once
	ClassLookup        // catalogue reads: idempotent
)

// Classes lists the valid classes in the order in which they are shed last to first.
var Classes = []Class{ClassOrder, ClassQuick, ClassLookup, ClassLong}

var classNames = map[Class]string{
	ClassUnknown: "unknown",
	ClassQuick:   "quick",
	ClassLong:    "long",
	ClassOrder:   "order",
	ClassLookup:  "lookup",
}

// String returns the name that configuration and metrics use.
func (c Class) String() string {
	return classNames[c]
}

// MarshalText returns the name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText takes a name.
func (c *Class) UnmarshalText(b []byte) error {
	parsed, err := ParseClass(string(b))
	if err != nil && string(b) != classNames[ClassUnknown] {
		return err
	}
	*c = parsed
	return nil
}

// ParseClass returns the class of that name.
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
