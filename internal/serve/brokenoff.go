package serve

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
)

// ErrBrokenOff marks errors of a Transport where the endpoint ended the connection before the
// response was complete.
var ErrBrokenOff = errors.New("endpoint ended the connection before the response was complete")

// ErrUnmarkedEnd is returned after the last event of a stream that has neither a length nor
// chunks: the endpoint has ended the connection, as it does at the end of the stream, but also
// when it has stopped the request.
var ErrUnmarkedEnd = errors.New("stream ended with its connection")

// minAnswerEvents is the number of events from which an endpoint has done more than begin to
// answer. A stream that ends earlier has done so, too.
const minAnswerEvents = 2

// brokenOff records that an endpoint ended the connection of an attempt after a number of
// events. The signature and the segments in the log show what the requests have in common
// under which endpoints crash.
func (c *call) brokenOff(id ident.AttemptID, choice placement.Choice, head bool, events int, err error) {
	if !errors.Is(err, ErrBrokenOff) {
		return
	}
	c.h.log.Info("request: Response broke off.", "request", c.req.ID, "attempt", id, "route", c.route.Name, "signature", c.identity.Signature.String(),
		"endpoint", choice.Endpoint.ID, "head", head, "events", events, "segments", formatSegments(c.req.Prompt.SharedSegments()))
	if !c.h.placement.Leaving(choice.Endpoint.ID) { // a leaving endpoint ends by itself
		c.h.guard.BrokenOff(choice.Endpoint, c.identity, c.attempts.sent(id), events >= minAnswerEvents)
	}
}

// formatSegments returns the IDs of prompt segments in hexadecimal, separated by commas.
func formatSegments(segments []placement.PromptSegment) string {
	ids := make([]string, 0, len(segments))
	for _, s := range segments {
		ids = append(ids, strconv.FormatUint(s.ID, 16))
	}
	return strings.Join(ids, ",")
}
