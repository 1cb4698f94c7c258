package entry

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// drainPoll is the interval at which a drain checks whether all answers have ended.
const drainPoll = 20 * time.Millisecond

// AcceptHandover continues a chat completion that another node handed over. It skips
// admission, as the other node has admitted the request. It returns an error with the
// verdict not-run if this node is stopping.
func (s *Server) AcceptHandover(chat *ChatCompletion) error {
	if s.unready.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "this node is stopping")
	}
	s.start(chat, func() {})
	return nil
}

// FinishOrHandOver waits until all running answers have ended. When ctx is done, it
// hands the remaining ones over to other nodes, for at most budget. It returns how many
// were handed over and for how many that failed.
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

// handOverOne hands a chat completion over to another node and stops it on this one. No
// token is lost: those that the engine sends here while appends are paused are generated
// again there.
func (s *Server) handOverOne(ctx context.Context, c runningChat) bool {
	if c.chat.Answer.End().Done {
		return true
	}
	c.chat.Answer.PauseAppends()
	if err := s.peers.HandOver(ctx, c.chat); err != nil {
		c.chat.Answer.ResumeAppends()
		s.log.Error("entry: Handing over an answer failed.", "request", string(c.chat.Request.ID), "error", err)
		return false
	}
	c.chat.Answer.Close(time.Now(), answer.End{HandedOver: true})
	c.cancel()
	return true
}
