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

// attemptFailed logs the failure of an attempt without an event if its endpoint broke off the
// connection. The segments show what the requests have in common under which endpoints end.
func (c *call) attemptFailed(id ident.AttemptID, choice placement.Choice, head bool, err error) {
	if !errors.Is(err, ErrBrokenOff) {
		return
	}
	c.h.log.Info("request: Response broke off before its first event.", "request", c.req.ID, "attempt", id, "route", c.route.Name,
		"endpoint", choice.Endpoint.ID, "head", head, "segments", formatSegments(c.req.Prompt.SharedSegments()))
}

// formatSegments returns the IDs of prompt segments in hexadecimal, separated by commas.
func formatSegments(segments []placement.PromptSegment) string {
	ids := make([]string, 0, len(segments))
	for _, s := range segments {
		ids = append(ids, strconv.FormatUint(s.ID, 16))
	}
	return strings.Join(ids, ",")
}
