package admit

import (
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// meanGain is the weight of one ended request in a class's mean service time.
const meanGain = 0.05

// maxEstimate stands for a wait without end.
const maxEstimate = time.Hour

// wait estimates how long a request would queue.
func (c *Controller) wait(s *service, w *workspace, class ident.Class) time.Duration {
	l := s.lanes[class]
	wait := 0.0
	ahead := s.ahead(l, w)
	if ahead > 0 || !c.hasSlot(s, w, class) || !c.laneHasRoom(s, l) {
		wait = (ahead + 1) / c.freeRate(s, class)
	}
	if own := float64(len(l.flow(w).queue)); own > 0 || !c.hasRoom(w, class) {
		wait = max(wait, (own+1)*l.mean/float64(c.classLimit(w, class)))
	}
	if math.IsNaN(wait) || wait > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(wait * float64(time.Second))
}

// ahead counts the queued requests that go before one more of workspace w: those
// of higher classes, and those of the own class with an earlier start tag.
func (s *service) ahead(l *lane, w *workspace) float64 {
	n := s.queuedAbove(rank(l.class))
	own := l.flow(w)
	tag := max(l.virtual, own.finish)
	for _, f := range l.active {
		if f == own {
			n += len(f.queue)
			continue
		}
		first := compareFlows(f, own) < 0
		i, _ := slices.BinarySearchFunc(f.queue, tag, func(t *ticket, tag float64) int {
			if t.start < tag || t.start == tag && first {
				return -1
			}
			return 1
		})
		n += i
	}
	return float64(n)
}

// freeRate estimates how many slots a second come free for a class: those of its
// own and of lower classes, as higher classes take up their own again. The class's
// aged share is the least that it gets.
func (c *Controller) freeRate(s *service, class ident.Class) float64 {
	if s.capacity == 0 {
		return 0
	}
	rate := 0.0
	for _, lower := range ident.Classes[rank(class):] {
		l := s.lanes[lower]
		rate += float64(l.inflight) / l.mean
	}
	if c.opts.Classes[class].AgeAfter > 0 || s.queuedAbove(rank(class)) == 0 {
		rate = max(rate, float64(c.agedSlots(s))/s.lanes[class].mean)
	}
	return rate
}

// ended takes the service time of a finished request.
func (l *lane) ended(d time.Duration) {
	l.mean += meanGain * (d.Seconds() - l.mean)
	l.mean = max(l.mean, time.Millisecond.Seconds())
}
