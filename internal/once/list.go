package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// OpenClaim is a claim without outcome, for operators.
type OpenClaim struct {
	Key     Key
	Attempt ident.AttemptID
	Node    ident.NodeID
	Claimed time.Time
	// Unconfirmed is set where the request may have run and nobody knows its
	// outcome; otherwise it runs, or its holder has not been missed yet.
	Unconfirmed bool
}

// BucketPrefix is the prefix of the bucket objects.
func (l *Ledger) BucketPrefix() platformapi.Key { return l.opts.Prefix + "bucket/" }

// OpenClaims returns the claims without outcome of a bucket object, in the order
// of their claims.
func OpenClaims(o platformapi.Object) ([]OpenClaim, error) {
	b, err := decodeBucket(o)
	if err != nil {
		return nil, err
	}
	var open []OpenClaim
	for _, k := range b.order {
		if e := b.entries[k]; e.State != finished {
			open = append(open, OpenClaim{
				Key: k, Attempt: ident.AttemptID(e.Attempt), Node: ident.NodeID(e.Node),
				Claimed: time.Unix(0, e.ClaimedAt), Unconfirmed: e.State == unconfirmed,
			})
		}
	}
	return open, nil
}
