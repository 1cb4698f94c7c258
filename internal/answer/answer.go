// Package answer keeps the answers that a node is producing or has lately
// produced, so that a caller whose connection ended can go on reading.
//
// An answer is a log of tokens. Its writer appends them in order; any number of
// readers follow from an offset of their own. What one reader was given another
// is given too, byte for byte.
package answer

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Answer is the growing answer of one request.
type Answer struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Model     string
	Stream    bool // the form that the caller asked for

	mu struct {
		sync.Mutex
		text      []byte
		ends      []int32 // end of each token in text
		end       End
		ended     time.Time
		readers   []chan struct{}
		idleSince time.Time     // when the last reader left; zero while one reads
		resumed   chan struct{} // closed when a frozen answer may grow again; nil where it is not frozen
	}
}

// End tells how an answer ended. The zero value means that it has not.
type End struct {
	Done       bool
	Reason     string         // finish reason of a whole answer
	Usage      Usage          // of a whole answer
	Err        *verdict.Error // of a failed one
	HandedOver bool           // another node serves the rest
}

// New returns an empty answer.
func New(id ident.RequestID, w ident.Workspace, model string, stream bool) *Answer {
	return &Answer{ID: id, Workspace: w, Model: model, Stream: stream}
}

// Append adds one token with its offset. A token of another offset than the next
// is dropped and counted as a violation. A frozen answer makes it wait.
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

// Close ends the answer. Only the first end counts, but for a move, which may
// not overrule a real end.
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

// Freeze makes Append wait until Thaw or Close, so that what a hand-over took of
// the answer is all that its readers have seen.
func (a *Answer) PauseAppends() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mu.resumed == nil && !a.mu.end.Done {
		a.mu.resumed = make(chan struct{})
	}
}

// Thaw lets a frozen answer grow again.
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

// End returns how the answer ended, if it did.
func (a *Answer) End() End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.end
}

// Text returns the whole text so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.mu.text)
}

// Tokens returns a copy of the text so far and the end of each token in it.
func (a *Answer) Tokens() ([]byte, []int32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]byte(nil), a.mu.text...), append([]int32(nil), a.mu.ends...)
}

// Part is what a reader got: the text of the tokens [From, To).
type Segment struct {
	From, To int
	Text     []byte  // valid until the reader's next call
	Ends     []int32 // end of each token in Text; valid as long
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

// Follow returns a reader that begins at the token of that offset. An offset
// past the end of the log begins at its end.
func (a *Answer) Follow(offset int) *Reader {
	r := &Reader{a: a, wake: make(chan struct{}, 1), next: offset}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mu.readers = append(a.mu.readers, r.wake)
	a.mu.idleSince = time.Time{}
	return r
}

// Wake is signalled when Next may have more.
func (r *Reader) Wake() <-chan struct{} {
	return r.wake
}

// Next returns the tokens that the reader has not seen, as one part. An empty
// part without an end means that there is nothing yet.
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

// Close ends the reader at now.
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

// IdleSince returns when the last reader left, and false while one reads.
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

// endedAt returns when the answer ended, and its size.
func (a *Answer) endedAt() (ended time.Time, done bool, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.ended, a.mu.end.Done, len(a.mu.text) + 4*len(a.mu.ends)
}
