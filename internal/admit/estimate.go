package admit

import (
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// meanGain is the weight of one finished request in the exponentially weighted mean
// of a class's service time.
const meanGain = 0.05

// maxWaitEstimate is the upper limit of wait estimates; it stands for an unbounded wait.
const maxWaitEstimate = time.Hour

// estimateWait estimates how long a new request would wait in the queue.
func (c *Controller) estimateWait(s *service, w *workspace, class ident.Class) time.Duration {
	l := s.lanes[class]
	wait := 0.0
	ahead := s.queuedAhead(l, w)
	if ahead > 0 || !c.hasSlot(s, w, class) || !c.laneHasRoom(s, l) {
		wait = (ahead + 1) / c.freeRate(s, class)
	}
	if own := float64(len(l.flow(w).queue)); own > 0 || !c.hasRoom(w, class) {
		wait = max(wait, (own+1)*l.meanServiceSecs/float64(c.classLimit(w, class)))
	}
	if math.IsNaN(wait) || wait > maxWaitEstimate.Seconds() {
		return maxWaitEstimate
	}
	return time.Duration(wait * float64(time.Second))
}

// queuedAhead counts the queued requests that would start before a new request of
// workspace w: those of higher classes, and those of the same class with an earlier
// start tag.
func (s *service) queuedAhead(l *lane, w *workspace) float64 {
	n := s.queuedAbove(rank(l.class))
	own := l.flow(w)
	tag := max(l.virtualTime, own.finishTag)
	for _, f := range l.active {
		if f == own {
			n += len(f.queue)
			continue
		}
		first := compareFlows(f, own) < 0
		i, _ := slices.BinarySearchFunc(f.queue, tag, func(t *ticket, tag float64) int {
			if t.startTag < tag || t.startTag == tag && first {
				return -1
			}
			return 1
		})
		n += i
	}
	return float64(n)
}

// freeRate estimates how many slots per second become free for a class. It counts
// the slots of this class and of lower ones, as higher classes reuse their own. The
// slots for aged requests are the lower bound.
func (c *Controller) freeRate(s *service, class ident.Class) float64 {
	if s.capacity == 0 {
		return 0
	}
	rate := 0.0
	for _, lower := range ident.Classes[rank(class):] {
		l := s.lanes[lower]
		rate += float64(l.inflight) / l.meanServiceSecs
	}
	if c.opts.Classes[class].AgeAfter > 0 || s.queuedAbove(rank(class)) == 0 {
		rate = max(rate, float64(c.agedSlots(s))/s.lanes[class].meanServiceSecs)
	}
	return rate
}

// recordServiceTime adds the service time of a finished request to the mean.
func (l *lane) recordServiceTime(d time.Duration) {
	l.meanServiceSecs += meanGain * (d.Seconds() - l.meanServiceSecs)
	l.meanServiceSecs = max(l.meanServiceSecs, time.Millisecond.Seconds())
}
