package serve

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// answerStream implements runner.Stream for the response to one attempt.
type answerStream struct {
	call           *call
	ctx            context.Context // the attempt's context
	attempt        ident.AttemptID
	endpoint       site.Endpoint // at which the stream started
	answer         *Answer
	nextOffset     int // offset of the next event
	lastReadID     int // ID of the last event read; zero before the first
	eventsRead     int // by this attempt
	firstEventAt   time.Time
	lastEventAt    time.Time
	resumed        bool // the stream continues after an event that the caller has
	ended          bool // the end of the stream was read
	unmarked       bool // that end may be one of the connection alone
	watchdog       *watchdog
	migrationState atomic.Pointer[migrationState] // nil before a migration has started
	readErr        error                          // with which the stream broke off; nil before that
}

// Recv implements runner.Stream.
func (s *answerStream) Recv() (runner.Frame, error) {
	echo := attempt.Echo{Request: s.call.req.ID, Attempt: s.attempt}
	if s.answer.Events == nil {
		if s.answer.Head.Status < http.StatusMultipleChoices {
			s.call.h.guard.Answered(s.call.identity, s.call.attempts.sent(s.attempt))
		}
		s.call.h.guard.Completed(s.call.identity)
		r := &attempt.Response{Attempt: s.attempt, Echo: echo, Status: s.answer.Head.Status}
		return runner.Frame{Response: r, Body: s.answer}, nil
	}
	if s.ended {
		return runner.Frame{End: true}, nil
	}
	ev, err := s.nextEvent()
	if errors.Is(err, io.EOF) {
		s.ended = true
		if 0 < s.eventsRead && s.eventsRead < minAnswerEvents {
			s.call.h.guard.Answered(s.call.identity, s.firstEventAt)
		}
		if s.eventsRead > 0 && !s.unmarked {
			s.call.h.guard.Completed(s.call.identity)
		}
		s.call.delivery.recordHead(s.answer.Head)
		return runner.Frame{Chunk: &attempt.Chunk{Echo: echo, Offset: s.nextOffset, Finish: "end"}}, nil
	}
	if err != nil {
		s.readErr = err
		s.call.brokenOff(s.attempt, s.call.attempts.choice(s.attempt), true, s.eventsRead, err)
		return runner.Frame{}, s.watchdog.wrapError(err)
	}
	s.watchdog.reset()
	if err := s.checkSequence(ev); err != nil {
		s.readErr = err
		return runner.Frame{}, err
	}
	if s.lastReadID == 0 {
		s.call.countStarted()
		s.call.h.placement.FirstEvent(s.attempt)
	}
	s.lastReadID = ev.ID
	s.countEvent()
	s.call.delivery.recordEvent(s.answer.Head, s.nextOffset, ev.ID)
	chunk := &attempt.Chunk{Echo: echo, Offset: s.nextOffset, Tokens: []string{ev.Raw}}
	s.nextOffset++
	return runner.Frame{Chunk: chunk}, nil
}

// countEvent counts an event, and records an answer when there are enough of them.
func (s *answerStream) countEvent() {
	s.eventsRead++
	s.lastEventAt = time.Now()
	switch s.eventsRead {
	case 1:
		s.firstEventAt = s.lastEventAt
	case minAnswerEvents:
		s.call.h.guard.Answered(s.call.identity, s.firstEventAt)
	}
}

// nextEvent reads the next event. If the stream was stopped for its migration, it resumes
// the stream first.
func (s *answerStream) nextEvent() (Event, error) {
	ev, err := s.answer.Events.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return ev, err
	}
	if answer := s.resumeMigrated(err); answer != nil {
		s.answer.Events.Close()
		s.answer, s.resumed = answer, true
		ev, err = s.answer.Events.Next()
	}
	if errors.Is(err, ErrUnmarkedEnd) {
		return Event{}, s.unmarkedEnd()
	}
	return ev, err
}

// unmarkedEnd returns the error for a stream that ended with its connection: io.EOF if it is
// complete. One that had no event, and was not resumed after its last one, broke off. One that
// may have been stopped for its migration ends in the same way before its last event.
func (s *answerStream) unmarkedEnd() error {
	s.unmarked = true
	if s.stoppedForMigration() {
		s.call.h.log.Warn("request: Stream is incomplete: it was stopped for its migration, which failed.",
			"request", s.call.req.ID, "attempt", s.attempt, "endpoint", s.endpoint.ID, "events", s.eventsRead, "last_event", s.lastReadID)
		return errors.Wrap(io.ErrUnexpectedEOF, "stream was stopped for its migration")
	}
	if s.eventsRead == 0 && !s.resumed {
		return errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "stream without an event"), ErrBrokenOff)
	}
	return io.EOF
}

// checkSequence returns an error if ev is not the next event of the stream.
func (s *answerStream) checkSequence(ev Event) error {
	last := s.lastReadID
	if last == 0 {
		last = s.call.lastEventID()
	}
	if last > 0 && ev.ID != last+1 {
		return errors.Newf("event %d out of sequence: the last event was %d", ev.ID, last)
	}
	return nil
}

// Close implements runner.Stream.
func (s *answerStream) Close() error {
	s.call.h.activeStreams.remove(s)
	s.watchdog.stop()
	if s.answer.Events != nil {
		s.answer.Events.Close()
	}
	if s.answer.Release != nil {
		s.answer.Release()
	}
	s.finishMigration()
	return nil
}
