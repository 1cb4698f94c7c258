// Package answer stores the answers that a node is generating or has recently
// finished, so that a caller whose connection was closed can resume reading.
//
// An answer is an append-only log of tokens. Its writer appends them in order;
// each reader follows the log from its own offset. All readers receive identical
// bytes for the same tokens.
package answer

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Usage contains the token counts of an answer.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Answer is the token log of one request's response. Tokens are appended while
// they are generated.
type Answer struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Model     string
	Stream    bool // whether the caller requested a stream

	mu struct {
		sync.Mutex
		text      []byte
		ends      []int32 // byte offset in text at which each token ends
		end       End
		ended     time.Time
		readers   []chan struct{}
		idleSince time.Time     // when the last reader was closed; zero while there is one or before the first
		resumed   chan struct{} // closed when appends are no longer paused; nil if they are not paused
	}
}

// End describes how an answer ended. The zero value means that it is in progress.
type End struct {
	Done       bool
	Reason     string         // finish reason, if the answer is complete
	Usage      Usage          // token counts, if the answer is complete
	Err        *verdict.Error // error, if the answer failed
	HandedOver bool           // the remaining tokens have to be fetched from another node
}

// New returns an empty answer.
func New(id ident.RequestID, w ident.Workspace, model string, stream bool) *Answer {
	return &Answer{ID: id, Workspace: w, Model: model, Stream: stream}
}

// Append adds the token with the given offset. If offset is not the next one, the
// token is dropped and an invariant violation is recorded. Append blocks while
// appends are paused, and does nothing once the answer has ended.
func (a *Answer) Append(offset int, token []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.mu.resumed != nil {
		resumed := a.mu.resumed
		a.mu.Unlock()
		<-resumed
		a.mu.Lock()
	}
	if a.mu.end.Done {
		return
	}
	next := len(a.mu.ends)
	if offset != next {
		invariant.Violated(invariant.OffsetsContiguous, "answer %s got offset %d, next is %d", a.ID, offset, next)
		return
	}
	a.mu.text = append(a.mu.text, token...)
	a.mu.ends = append(a.mu.ends, int32(len(a.mu.text)))
	a.wakeReadersLocked()
}

// Close ends the answer at now. Only the first call has an effect, so a later
// handover can't replace the actual end.
func (a *Answer) Close(now time.Time, end End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mu.end.Done {
		return
	}
	end.Done = true
	a.mu.end = end
	a.mu.ended = now
	a.resumeLocked()
	a.wakeReadersLocked()
}

// PauseAppends makes Append block until ResumeAppends or Close is called, so that
// the tokens copied for a handover are all that readers can have seen.
func (a *Answer) PauseAppends() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mu.resumed == nil && !a.mu.end.Done {
		a.mu.resumed = make(chan struct{})
	}
}

// ResumeAppends unblocks Append after PauseAppends.
func (a *Answer) ResumeAppends() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resumeLocked()
}

func (a *Answer) resumeLocked() {
	if a.mu.resumed != nil {
		close(a.mu.resumed)
		a.mu.resumed = nil
	}
}

// Len returns the number of tokens so far.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.mu.ends)
}

// End returns how the answer ended; its Done field is false while the answer is in
// progress.
func (a *Answer) End() End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.end
}

// Text returns the text so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.mu.text)
}

// Tokens returns a copy of the text so far and the byte offset at which each token
// ends in it.
func (a *Answer) Tokens() ([]byte, []int32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]byte(nil), a.mu.text...), append([]int32(nil), a.mu.ends...)
}

// Segment contains the text of the tokens [From, To) and, if the answer has ended,
// its end.
type Segment struct {
	From, To int
	Text     []byte  // valid until the reader's next call of Next
	Ends     []int32 // byte offset in Text at which each token ends; valid as long as Text
	End      End
}

// Reader follows an answer from an offset.
type Reader struct {
	a    *Answer
	wake chan struct{}
	next int // offset of the next token to read
	buf  []byte
	ends []int32
}

// Follow returns a reader that starts at the token with the given offset. With an
// offset past the end of the log, it waits until the log is longer than that.
func (a *Answer) Follow(offset int) *Reader {
	r := &Reader{a: a, wake: make(chan struct{}, 1), next: offset}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mu.readers = append(a.mu.readers, r.wake)
	a.mu.idleSince = time.Time{}
	return r
}

// Wake returns a channel that receives a value when Next may return more.
func (r *Reader) Wake() <-chan struct{} {
	return r.wake
}

// Next returns all tokens that the reader has not returned yet as one segment. It
// doesn't block: an empty segment without an end means that there is nothing new.
func (r *Reader) Next() Segment {
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	seg := Segment{From: r.next, To: r.next, End: a.mu.end}
	if n := len(a.mu.ends); r.next < n {
		start := a.tokenStartLocked(r.next)
		r.buf = append(r.buf[:0], a.mu.text[start:a.mu.ends[n-1]]...)
		r.ends = r.ends[:0]
		for _, end := range a.mu.ends[r.next:n] {
			r.ends = append(r.ends, end-start)
		}
		seg.Text = r.buf
		seg.Ends = r.ends
		seg.To = n
		r.next = n
	}
	return seg
}

// Close removes the reader from the answer. The answer becomes idle at now if it was
// the last one.
func (r *Reader) Close(now time.Time) {
	a := r.a
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, c := range a.mu.readers {
		if c == r.wake {
			a.mu.readers = append(a.mu.readers[:i], a.mu.readers[i+1:]...)
			break
		}
	}
	if len(a.mu.readers) == 0 {
		a.mu.idleSince = now
	}
}

// IdleSince returns when the last reader was closed, and false while there is a
// reader. The time is zero if there has been no reader yet.
func (a *Answer) IdleSince() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.idleSince, len(a.mu.readers) == 0
}

func (a *Answer) tokenStartLocked(token int) int32 {
	if token == 0 {
		return 0
	}
	return a.mu.ends[token-1]
}

func (a *Answer) wakeReadersLocked() {
	for _, c := range a.mu.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// endedAt returns when the answer ended, whether it did, and its size in bytes.
func (a *Answer) endedAt() (ended time.Time, done bool, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.ended, a.mu.end.Done, len(a.mu.text) + 4*len(a.mu.ends)
}
