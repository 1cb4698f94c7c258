package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// runningJob is a chat job with the function that cancels it.
type runningJob struct {
	job    *ChatJob
	cancel context.CancelFunc
}

// jobTable holds the chat jobs that this node runs.
type jobTable struct {
	mu struct {
		sync.Mutex
		byID map[ident.RequestID]runningJob
	}
}

func newJobTable() *jobTable {
	t := &jobTable{}
	t.mu.byID = make(map[ident.RequestID]runningJob)
	return t
}

func (t *jobTable) add(job *ChatJob, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.byID[job.Request.ID] = runningJob{job, cancel}
}

func (t *jobTable) remove(id ident.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.mu.byID, id)
}

// list returns the running jobs, ordered by request ID.
func (t *jobTable) list() []runningJob {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]runningJob, 0, len(t.mu.byID))
	for _, j := range t.mu.byID {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].job.Request.ID < out[k].job.Request.ID })
	return out
}

// abandoned returns the jobs, long ones aside, without a reader for abandonGrace.
func (t *jobTable) abandoned(now time.Time) []runningJob {
	var out []runningJob
	for _, j := range t.list() {
		since, idle := j.job.Answer.IdleSince()
		long := j.job.Request.Route.Class == ident.ClassLong
		if idle && !long && !since.IsZero() && now.Sub(since) > abandonGrace {
			out = append(out, j)
		}
	}
	return out
}
