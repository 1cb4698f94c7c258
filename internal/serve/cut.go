package serve

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// cutCause is what ended a stream, after its head was sent, before its last event.
type cutCause string

const (
	cutByCaller      cutCause = "caller"       // the caller has left
	cutByCallerWrite cutCause = "caller-write" // a write to the caller failed
	cutByMigration   cutCause = "migration"    // it was stopped for its migration and not resumed
	cutByEndpoint    cutCause = "endpoint"     // the endpoint ended the connection
	cutByDeadline    cutCause = "deadline"
	cutByStop        cutCause = "stop"       // this node stops
	cutByConnection  cutCause = "connection" // the connection failed, or its bytes were not the stream
)

// cutBy returns what cut a stream that ended with err. All its attempts must have ended.
func (c *call) cutBy(ctx context.Context, err *verdict.Error) cutCause {
	s := c.attempts.lastStream()
	switch {
	case ctx.Err() != nil:
		return cutByCaller
	case c.delivery.writeFailed():
		return cutByCallerWrite
	case s != nil && s.stoppedForMigration():
		return cutByMigration
	case err.Code == verdict.CodeStopping:
		return cutByStop
	case err.Code == verdict.CodeDeadline:
		return cutByDeadline
	case s != nil && errors.Is(s.readErr, ErrBrokenOff):
		return cutByEndpoint
	default:
		return cutByConnection
	}
}
