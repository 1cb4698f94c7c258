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
func (s *Server) Adopt(job *ChatJob) error {
	if s.unready.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "this node is stopping")
	}
	s.start(job, func() {})
	return nil
}

// FinishOrHandOver waits until the running answers have ended, and at ctx's end
// hands those that have not to other nodes. It returns how many were handed over
// and how many could not be.
func (s *Server) FinishOrHandOver(ctx context.Context, budget time.Duration) (moved, lost int) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for len(s.jobs.list()) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return s.handOver(budget)
		}
	}
	return 0, 0
}

func (s *Server) handOver(budget time.Duration) (moved, lost int) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	for _, j := range s.jobs.list() {
		if s.handOverOne(ctx, j) {
			moved++
		} else {
			lost++
		}
	}
	return moved, lost
}

// handOverOne stops a job here and starts it at another node. Tokens that the
// engine sends between the two are produced again there, never lost.
func (s *Server) handOverOne(ctx context.Context, j runningJob) bool {
	if j.job.Answer.End().Done {
		return true
	}
	j.job.Answer.Freeze()
	if err := s.remote.HandOver(ctx, j.job); err != nil {
		j.job.Answer.Thaw()
		s.log.Error("entry: Answer could not be handed over.", "request", string(j.job.Request.ID), "error", err)
		return false
	}
	j.job.Answer.Close(time.Now(), answer.End{Moved: true})
	j.cancel()
	return true
}
