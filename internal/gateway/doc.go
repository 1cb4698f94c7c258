// Package gateway builds the process of an entry host: it registers the services
// of a node with the kernel, and starts, drains and stops them.
//
// It knows the platform only by the interfaces of Adapter; the command line
// chooses what implements them.
package gateway
