package load

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

// completion collects a streamed response, which may span several connections.
type completion struct {
	requestID string // from the event IDs or the header
	lastID    string
	offset    int // of the last event; -1 before the first
	text      strings.Builder

	complete  bool // the end mark was received
	failed    bool // an error event was received
	foreign   bool // an event of another request was received
	duplicate bool // an event was received twice
}

func newCompletion() *completion {
	return &completion{offset: -1}
}

// streamError is the data of an event that ends a stream with a failure.
type streamError struct {
	Error json.RawMessage `json:"error"`
}

// addEvent adds an event and reports whether it contained new text.
func (c *completion) addEvent(e event) bool {
	if e.data == "[DONE]" {
		c.complete = !c.failed
		return false
	}
	var failure streamError
	if json.Unmarshal([]byte(e.data), &failure) == nil && failure.Error != nil || e.name == "error" {
		c.failed = true
		return false
	}
	var chunk endpoint.ChatChunk
	if json.Unmarshal([]byte(e.data), &chunk) != nil || len(chunk.Choices) == 0 {
		return false
	}
	text := chunk.Choices[0].Delta.Content
	if !c.acceptID(e.id, text != "") {
		return false
	}
	c.text.WriteString(text)
	c.complete = c.complete || chunk.Choices[0].FinishReason != ""
	return text != ""
}

// acceptID records an event ID, "REQUEST/OFFSET", and reports whether the event is
// a new one of this response. An event without an ID is accepted, and one without
// text may have the same offset as an adjacent event.
func (c *completion) acceptID(id string, text bool) bool {
	if id == "" {
		return true
	}
	request, position, _ := strings.Cut(id, "/")
	offset, err := strconv.Atoi(position)
	if c.requestID == "" {
		c.requestID = request
	}
	if err != nil || request != c.requestID {
		c.foreign = true
		return false
	}
	if !text {
		return true
	}
	if offset <= c.offset {
		c.duplicate = true
		return false
	}
	c.lastID, c.offset = id, offset
	return true
}

// matches reports whether the text is the expected response of a stand-in engine.
func (c *completion) matches(req *endpoint.ChatRequest) bool {
	tokens := engine.NewTokens(endpoint.PromptText(req.Messages), req.Seed)
	return c.text.String() == tokens.Text(req.MaxTokens)
}

// resultKind is the outcome of a request.
type resultKind int

const (
	complete    resultKind = iota
	incomplete             // no complete response
	wrong                  // response to another request or with unexpected content
	refused                // error response, with or without a verdict
	unreachable            // no connection to any entry
)

// result is the outcome of a request. Its times are measured from the planned arrival.
type result struct {
	class       ident.Class
	kind        resultKind
	verdict     string // of a refusal; empty if absent
	status      int
	brokenConns int // connections that broke before the response was complete
	resumed     int // streams resumed after a broken connection
	resent      int // times the request was sent again after a connection broke without a response
	duplicate   bool
	firstByte   time.Duration
	total       time.Duration
	gaps        []time.Duration // between tokens
}
