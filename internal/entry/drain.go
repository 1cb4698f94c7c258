package entry

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// drainPoll is how often a drain looks whether the running answers have ended.
const drainPoll = 20 * time.Millisecond

// Adopt goes on with another node's job. It is not admitted anew: it was accepted.
func (s *Server) AcceptHandover(chat *ChatCompletion) error {
	if s.unready.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "this node is stopping")
	}
	s.start(chat, func() {})
	return nil
}

// FinishOrHandOver waits until the running answers have ended, and at ctx's end
// hands those that have not to other nodes. It returns how many were handed over
// and how many could not be.
func (s *Server) FinishOrHandOver(ctx context.Context, budget time.Duration) (handedOver, failed int) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for len(s.chats.list()) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return s.handOver(budget)
		}
	}
	return 0, 0
}

func (s *Server) handOver(budget time.Duration) (handedOver, failed int) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	for _, c := range s.chats.list() {
		if s.handOverOne(ctx, c) {
			handedOver++
		} else {
			failed++
		}
	}
	return handedOver, failed
}

// handOverOne stops a job here and starts it at another node. Tokens that the
// engine sends between the two are produced again there, never lost.
func (s *Server) handOverOne(ctx context.Context, c runningChat) bool {
	if c.chat.Answer.End().Done {
		return true
	}
	c.chat.Answer.PauseAppends()
	if err := s.peers.HandOver(ctx, c.chat); err != nil {
		c.chat.Answer.ResumeAppends()
		s.log.Error("entry: Answer could not be handed over.", "request", string(c.chat.Request.ID), "error", err)
		return false
	}
	c.chat.Answer.Close(time.Now(), answer.End{HandedOver: true})
	c.cancel()
	return true
}
