// Package endpoint is the HTTP client for endpoints, which are model engines or plain
// services.
package endpoint

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Request headers of attempts.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id"  // echoed by the endpoint
	HeaderDeadlineMS = "X-Deadline-Ms" // milliseconds until the deadline
	HeaderPriority   = "X-Priority"    // the class name
	HeaderWorkspace  = "X-Workspace"   // the customer's workspace
	HeaderIdemKey    = "Idempotency-Key"
	HeaderNodeID     = "X-Node-Id"
	HeaderRoute      = "X-Route" // the name of the route
)

// Paths of an engine.
const (
	PathChat        = "/v1/chat/completions" // POST ChatRequest, returns server-sent events of ChatChunk
	PathCancel      = "/v1/cancel"           // POST CancelRequest
	PathLoad        = "/v1/load"             // GET, returns LoadReport
	PathCacheEvents = "/v1/cache/events"     // GET ?after=SEQ, returns CacheEvents
	PathEngineOrder = "/v1/orders"           // POST EngineOrder or GET, returns EngineState
	PathKVExport    = "/v1/kv/export"        // POST KVExportRequest, returns KVBlob
	PathKVImport    = "/v1/kv/import"        // POST KVBlob
	PathLeaving     = "/v1/leaving"          // GET, returns LeavingState
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request to an engine.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Seed      uint64    `json:"seed"`
	// ResumeOffset is the number of tokens already delivered; the engine resumes
	// with the token at that offset.
	ResumeOffset int `json:"resume_offset,omitempty"`
	// PrefixText is the text of the tokens already delivered.
	PrefixText string `json:"prefix_text,omitempty"`
}

// ChatChunk is the data of one server-sent event of an engine's stream. The
// stream ends with a chunk that has a FinishReason, then the line "data: [DONE]".
type ChatChunk struct {
	ID      string          `json:"id"`      // request ID
	Attempt ident.AttemptID `json:"attempt"` // attempt ID
	Model   string          `json:"model"`
	Offset  int             `json:"offset"` // offset of the first token in this chunk
	Choices []Choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"` // only on the last chunk
}

// Choice is one of the alternative completions in a chunk. Requests ask for one
// alternative only.
type Choice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Delta is the text added by a chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a finished request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// CancelRequest stops an attempt.
type CancelRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// LoadReport is the load that an endpoint reports. It lags behind the actual load.
type LoadReport struct {
	Endpoint      ident.EndpointID `json:"endpoint"`
	Version       ident.Version    `json:"version"`
	Running       int              `json:"running"`
	Queued        int              `json:"queued"`
	QueuedTokens  int              `json:"queued_tokens"` // uncached prompt tokens of the queued requests
	MaxRunning    int              `json:"max_running"`
	PrefillPerSec float64          `json:"prefill_tokens_per_second"`
	DecodePerSec  float64          `json:"decode_tokens_per_second"` // per stream
	// Age is the age of the report when it was sent.
	Age time.Duration `json:"age_ns"`
}

// CacheEvent is the addition of one block to an engine's prefix cache, or its
// eviction.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"` // hash of the chain of blocks up to and including this one
	Added bool   `json:"added"`
}

// CacheEvents is the response to a poll for cache events. Events are delayed; if Gap
// is set, some were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Gap    bool         `json:"gap"`
}

// EngineOrder is the desired state of an engine, not a step towards it.
type EngineOrder struct {
	Fence   ident.Epoch   `json:"fence"`
	Version ident.Version `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}

// EngineState is the current state of an engine.
type EngineState struct {
	Fence   ident.Epoch   `json:"fence"`
	Version ident.Version `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
	Ready   bool          `json:"ready"`
}

// KVExportRequest requests the KV cache of the tokens of an attempt so far.
type KVExportRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// KVBlob is an exported KV cache.
type KVBlob struct {
	Blocks []uint64 `json:"blocks"`
	Tokens int      `json:"tokens"`
	// Bytes is the size of the cache when transferred over the network.
	Bytes int `json:"bytes"`
}

// LeavingState is the drain state that an endpoint reports.
type LeavingState struct {
	Leaving     bool              `json:"leaving"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Deadline    time.Time         `json:"deadline"`
}
