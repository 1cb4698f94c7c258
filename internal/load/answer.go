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

// answer gathers a streamed answer over its connections.
type answer struct {
	request string // ID of the request, from the event IDs or the header
	lastID  string
	offset  int // of the last event; -1 before the first
	text    strings.Builder

	whole   bool // the end mark came
	failed  bool // an error came inside the stream
	crossed bool // an event of another request came
	doubled bool // an event came twice
}

func newAnswer() *answer {
	return &answer{offset: -1}
}

// streamError is the data of an event that ends a stream with a failure.
type streamError struct {
	Error json.RawMessage `json:"error"`
}

// take adds an event and returns whether it brought text.
func (a *answer) take(e event) bool {
	if e.data == "[DONE]" {
		a.whole = !a.failed
		return false
	}
	var failure streamError
	if json.Unmarshal([]byte(e.data), &failure) == nil && failure.Error != nil || e.name == "error" {
		a.failed = true
		return false
	}
	var c endpoint.ChatChunk
	if json.Unmarshal([]byte(e.data), &c) != nil || len(c.Choices) == 0 {
		return false
	}
	text := c.Choices[0].Delta.Content
	if !a.follows(e.id, text != "") {
		return false
	}
	a.text.WriteString(text)
	a.whole = a.whole || c.Choices[0].FinishReason != ""
	return text != ""
}

// follows notes an event ID, "REQUEST/OFFSET", and returns whether the event is
// a later one of this answer. An event without an ID is taken as it comes, and
// one without text may have the offset of its neighbour.
func (a *answer) follows(id string, text bool) bool {
	if id == "" {
		return true
	}
	request, position, _ := strings.Cut(id, "/")
	offset, err := strconv.Atoi(position)
	if a.request == "" {
		a.request = request
	}
	if err != nil || request != a.request {
		a.crossed = true
		return false
	}
	if !text {
		return true
	}
	if offset <= a.offset {
		a.doubled = true
		return false
	}
	a.lastID, a.offset = id, offset
	return true
}

// right reports whether the text is what a stand-in engine answers.
func (a *answer) right(req *endpoint.ChatRequest) bool {
	tokens := engine.NewTokens(endpoint.PromptText(req.Messages), req.Seed)
	return a.text.String() == tokens.Text(req.MaxTokens)
}

// kind is what became of a request.
type kind int

const (
	whole       kind = iota
	lost             // accepted, and never answered whole
	wrong            // another answer than asked for
	refused          // an error answer with or without a verdict
	unreachable      // no entry took the connection
)

// result is what became of a request, with its times from the planned arrival.
type result struct {
	class     ident.Class
	kind      kind
	verdict   string // of a refusal; empty where none was given
	status    int
	cuts      int // connections that broke while an answer was awaited
	resumed   int // of them, those after which the answer went on
	resent    int // requests sent again after a connection broke without an answer
	doubled   bool
	firstByte time.Duration
	total     time.Duration
	gaps      []time.Duration // between tokens
}
