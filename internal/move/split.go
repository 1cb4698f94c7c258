package move

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// Split is the distribution of the requests of a service over two versions.
type Split struct {
	From, To ident.Version
	// Share is the share of the requests that go to To.
	Share Share
	// Shadow is the share of idempotent requests that are copied to the version that
	// does not serve the caller. Responses to copies are discarded; they only count
	// as evidence.
	Shadow Share
}

// Split returns the distribution in force on this node. The new version gets no
// requests if it is marked as bad or if the move is neither in progress nor done.
// Until the move is done, the share is limited to what the ready endpoints of the
// new version can serve, and to Options.MaxUnprovedShare while it is in doubt.
func (c *Controller) Split() Split {
	r := c.record
	s := Split{From: r.From, To: r.To}
	if r.State == "" {
		s.From, s.To = c.in.Move.From, c.in.Move.To
	}
	if c.mark == nil {
		switch r.State {
		case StateAdvancing:
			s.Share = min(r.Share, c.in.Capacity)
			if !r.Proved {
				s.Shadow = c.rate.shadowShare(c.opts.ShadowPerSecond)
			}
		case StateBaking:
			s.Share = min(FullShare, c.in.Capacity)
			s.Shadow = c.rate.shadowShare(c.opts.ShadowPerSecond)
		case StateDone:
			s.Share = FullShare
		}
		if r.State != StateDone && c.doubtReason() != "" {
			s.Share = min(s.Share, c.opts.MaxUnprovedShare)
		}
	}
	invariant.Check(c.mark == nil || s.Share == 0 && s.Shadow == 0, invariant.MarkedVersionNoWork,
		"move %q is marked as bad and has a share of %d", c.name, s.Share)
	invariant.Check(s.Share <= c.opts.MaxUnprovedShare || r.Proved, invariant.UnprovedShareBounded,
		"unproved move %q has a share of %d", c.name, s.Share)
	return s
}

// rateMeter estimates the rate of the requests of a service per second.
type rateMeter struct {
	startedAt     time.Time
	observedAt    time.Time
	observedTotal uint64
	perSecond     float64
}

// meterInterval is the time over which the rate is averaged.
const meterInterval = time.Minute

func (m *rateMeter) observe(now time.Time, totals ...Totals) {
	var n uint64
	for _, t := range totals {
		for _, c := range t {
			n += c.Requests + c.Excused
		}
	}
	if m.startedAt.IsZero() {
		m.startedAt, m.observedAt, m.observedTotal = now, now, n
		return
	}
	elapsed := now.Sub(m.observedAt).Seconds()
	if now.Sub(m.observedAt) < meterInterval && now.Sub(m.startedAt) >= meterInterval || elapsed <= 0 {
		return
	}
	m.perSecond = float64(n-min(n, m.observedTotal)) / elapsed
	if now.Sub(m.observedAt) >= meterInterval {
		m.observedAt, m.observedTotal = now, n
	}
}

// shadowShare returns the share of requests to copy for perSecond copies a second.
func (m *rateMeter) shadowShare(perSecond float64) Share {
	if m.perSecond <= perSecond {
		return FullShare
	}
	return max(1, Share(float64(FullShare)*perSecond/m.perSecond))
}
