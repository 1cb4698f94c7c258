package serve

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// answerStream is the answer of one attempt.
type answerStream struct {
	call     *call
	ctx      context.Context // of the attempt
	attempt  ident.AttemptID
	endpoint site.Endpoint // that the run began at
	answer   *Answer
	next     int // offset of the next event
	lastID   int
	ended    bool
	dog      *watchdog
	move     atomic.Pointer[move] // nil before one has begun
}

// Recv implements runner.Stream.
func (s *answerStream) Recv() (runner.Frame, error) {
	echo := attempt.Echo{Request: s.call.req.ID, Attempt: s.attempt}
	if s.answer.Events == nil {
		r := &attempt.Response{Attempt: s.attempt, Echo: echo, Status: s.answer.Head.Status}
		return runner.Frame{Response: r, Body: s.answer}, nil
	}
	if s.ended {
		return runner.Frame{End: true}, nil
	}
	ev, err := s.nextEvent()
	if errors.Is(err, io.EOF) {
		s.ended = true
		s.call.delivery.complete(s.answer.Head)
		return runner.Frame{Chunk: &attempt.Chunk{Echo: echo, Offset: s.next, Finish: "end"}}, nil
	}
	if err != nil {
		return runner.Frame{}, s.dog.explain(err)
	}
	s.dog.heard()
	if err := s.follows(ev); err != nil {
		return runner.Frame{}, err
	}
	if s.lastID == 0 {
		s.call.ran()
		s.call.h.places.FirstEvent(s.attempt)
	}
	s.lastID = ev.ID
	s.call.delivery.offer(s.answer.Head, s.next, ev.ID)
	chunk := &attempt.Chunk{Echo: echo, Offset: s.next, Tokens: []string{ev.Raw}}
	s.next++
	return runner.Frame{Chunk: chunk}, nil
}

// nextEvent reads the next event, at another engine where the run was moved there.
func (s *answerStream) nextEvent() (Event, error) {
	ev, err := s.answer.Events.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return ev, err
	}
	answer := s.goOn()
	if answer == nil {
		return Event{}, err
	}
	s.answer.Events.Close()
	s.answer = answer
	return s.answer.Events.Next()
}

// follows checks that an event is the next one of its stream.
func (s *answerStream) follows(ev Event) error {
	last := s.lastID
	if last == 0 {
		last = s.call.lastEvent()
	}
	if last > 0 && ev.ID != last+1 {
		return errors.Newf("event %d follows event %d", ev.ID, last)
	}
	return nil
}

// Close implements runner.Stream.
func (s *answerStream) Close() error {
	s.call.h.runs.remove(s)
	s.dog.stop()
	if s.answer.Events != nil {
		s.answer.Events.Close()
	}
	s.settleMove()
	return nil
}
