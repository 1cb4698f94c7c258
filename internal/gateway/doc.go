// Package gateway assembles the process of an entry host: it registers the services
// of a node with the kernel, and starts, drains and stops them.
//
// It depends on the platform only through the interfaces in Adapter; the command line
// chooses their implementations.
package gateway
