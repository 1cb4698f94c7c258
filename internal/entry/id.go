package entry

import (
	"strconv"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

const idBase = 36

// newRequestID returns a unique ID that contains this node, its data centre and its
// incarnation: "NODE~DATACENTRE.INCARNATION.SERIAL".
func (s *Server) newRequestID() ident.RequestID {
	incarnation := strconv.FormatUint(uint64(s.opts.Incarnation), idBase)
	serial := strconv.FormatUint(s.serial.Add(1), idBase)
	return ident.RequestID(string(s.opts.Node) + "~" + string(s.opts.DataCentre) + "." + incarnation + "." + serial)
}

// Origin is the node that accepted a request from its caller.
type Origin struct {
	Node       ident.NodeID
	DataCentre ident.DataCentre
}

// OriginOf returns the origin that a request ID contains, or the zero Origin if the ID
// has another format.
func OriginOf(id ident.RequestID) Origin {
	serial := strings.LastIndexByte(string(id), '.')
	if serial < 0 {
		return Origin{}
	}
	incarnation := strings.LastIndexByte(string(id[:serial]), '.')
	if incarnation <= 0 {
		return Origin{}
	}
	node, dc, _ := strings.Cut(string(id[:incarnation]), "~")
	return Origin{ident.NodeID(node), ident.DataCentre(dc)}
}

// appendEventID appends the ID of a server-sent event, "REQUEST/OFFSET". The offset is
// the number of tokens sent up to and including the event.
func appendEventID(b []byte, id ident.RequestID, offset int) []byte {
	b = append(b, id...)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(offset), 10)
}

// parseEventID splits the ID of a server-sent event into request ID and offset. It
// returns false if the ID is malformed.
func parseEventID(s string) (ident.RequestID, int, bool) {
	id, offset, ok := strings.Cut(s, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(offset)
	if err != nil || n < 0 {
		return "", 0, false
	}
	return ident.RequestID(id), n, true
}
