package move

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// Split tells a node how to spread the requests of a service over two versions.
type Split struct {
	From, To ident.Version
	// Share of the requests that go to To.
	Share Share
	// Shadow is the share of idempotent requests of which a copy goes to the version
	// that does not answer the caller. Copies are counted as evidence only.
	Shadow Share
}

// Split returns the spread in force on this node. A version that is marked, or not
// known to be wanted, gets nothing; while the old version is there, the new one
// gets no more than its ready endpoints can take, and a small share in doubt.
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
				s.Shadow = c.rate.shadow(c.opts.ShadowPerSecond)
			}
		case StateBaking:
			s.Share = min(FullShare, c.in.Capacity)
			s.Shadow = c.rate.shadow(c.opts.ShadowPerSecond)
		case StateDone:
			s.Share = FullShare
		}
		if r.State != StateDone && c.doubt() != "" {
			s.Share = min(s.Share, c.opts.SmallShare)
		}
	}
	invariant.Check(c.mark == nil || s.Share == 0 && s.Shadow == 0, invariant.MarkedVersionNoWork,
		"move %q is marked and has a share of %d", c.name, s.Share)
	invariant.Check(s.Share <= c.opts.SmallShare || r.Proved, invariant.UnprovedShareBounded,
		"move %q has a share of %d without proof", c.name, s.Share)
	return s
}

// rateMeter estimates the requests a second of a service.
type rateMeter struct {
	begun     time.Time
	at        time.Time
	total     uint64
	perSecond float64
}

// meterEvery is the time over which a rate is taken.
const meterEvery = time.Minute

func (m *rateMeter) observe(now time.Time, totals ...Totals) {
	var n uint64
	for _, t := range totals {
		for _, c := range t {
			n += c.Requests + c.Excused
		}
	}
	if m.begun.IsZero() {
		m.begun, m.at, m.total = now, now, n
		return
	}
	elapsed := now.Sub(m.at).Seconds()
	if now.Sub(m.at) < meterEvery && now.Sub(m.begun) >= meterEvery || elapsed <= 0 {
		return
	}
	m.perSecond = float64(n-min(n, m.total)) / elapsed
	if now.Sub(m.at) >= meterEvery {
		m.at, m.total = now, n
	}
}

// shadow returns the share of requests to copy for a rate of copies.
func (m *rateMeter) shadow(perSecond float64) Share {
	if m.perSecond <= perSecond {
		return FullShare
	}
	return max(1, Share(float64(FullShare)*perSecond/m.perSecond))
}
