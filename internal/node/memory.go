package node

import (
	"cmp"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/callerconn"
)

// Divisors of the memory of the process that give the memory for the heads of requests, beside what
// each connection has for a head of ordinary size, for the bodies of callers' requests, for those of
// other nodes and operators, and for the kernel's queues in each direction.
const (
	headMemoryDivisor    = 16
	bodyMemoryDivisor    = 4
	messageMemoryDivisor = 8
	queueMemoryDivisor   = 8
)

// memory is the memory for what clients send, at all addresses of the node.
type memory struct {
	heads    *callerconn.Memory
	bodies   *bytebudget.Budget // of callers' requests
	messages *bytebudget.Budget // of other nodes and operators
}

func newMemory(bytes int64) memory {
	bytes = cmp.Or(bytes, DefaultMemoryMB<<20)
	m := memory{
		heads:    callerconn.NewMemory(bytes / headMemoryDivisor),
		bodies:   bytebudget.New(bytes / bodyMemoryDivisor),
		messages: bytebudget.New(bytes / messageMemoryDivisor),
	}
	m.bodies.OnExhausted(m.heads.Relieve)
	m.messages.OnExhausted(m.heads.Relieve)
	return m
}

// queueBytes returns the size of the kernel's queues for a connection.
func (o *Options) queueBytes() int {
	return callerconn.QueueBytes(cmp.Or(o.MemoryBytes, DefaultMemoryMB<<20)/queueMemoryDivisor, callerLimits().Total)
}
