package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// OpenClaim is a claim without a recorded response, as listed for operators.
type OpenClaim struct {
	Key     Key
	Attempt ident.AttemptID
	Node    ident.NodeID
	Claimed time.Time
	// Unconfirmed is set if the request may have run and its outcome is not known.
	// Otherwise it is running, or the failure of its holder was not detected yet.
	Unconfirmed bool
}

// BucketPrefix returns the prefix of the names of the bucket objects.
func (l *Ledger) BucketPrefix() platformapi.Key { return l.opts.Prefix + "bucket/" }

// OpenClaims returns the claims of a bucket object that have no recorded response, in
// the order in which they were made. It fails if the object can't be decoded.
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
