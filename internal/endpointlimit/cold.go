package endpointlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Pattern: herd to the empty endpoint. An endpoint that has just started, or returned, has the
// least load by all that nodes know, so that every node would send it the next requests, until
// each has learned of those of the others. A cold endpoint fails under that.
//
// Nodes that are cut off from the others, or have just started, count too. The senders of an
// endpoint are therefore chosen among all nodes that were live in the last nodeRetention: a node
// that no longer hears of the others keeps its rank. A node that has just started and knows fewer
// nodes than there may be senders takes no more than the share of one of them.

const (
	// maxCold bounds the cold endpoints that a node knows of, and maxReportedCold those that it
	// reports to the others.
	maxCold         = 4096
	maxReportedCold = 32
	// boundMargin is the part of what the bound leaves beside the rate that the senders may save
	// up. The rest is for nodes that disagree on the senders.
	boundMargin = 0.8
	// rampTime is the time over which, after an endpoint was cold, all nodes become its senders.
	rampTime = time.Second
	// maxColdTime bounds the time for which an endpoint counts as cold on one piece of evidence.
	maxColdTime = time.Minute
)

// Cold is how many requests per second a cold endpoint takes from all nodes together.
type Cold struct {
	PerSecond float64
	// Bound is the number of requests that it must not exceed in any second; zero for twice
	// PerSecond.
	Bound float64
}

// senders returns the number of nodes that may send, so that the requests that they have saved up
// and the rate stay within the bound.
func (c Cold) senders() int {
	bound := cmp.Or(c.Bound, 2*c.PerSecond)
	return max(int(math.Floor((bound-c.PerSecond)*boundMargin)), 1)
}

// ColdEndpoint states that an endpoint counts as cold until a time of day.
type ColdEndpoint struct {
	Endpoint site.IncarnationHash
	Until    time.Time
}

// coldEntry is a cold endpoint and this node's share of its rate.
type coldEntry struct {
	share
	until    time.Time
	rank     int  // number of recent nodes that rank above this one for the endpoint
	reported bool // the other nodes don't have this node's evidence
}

// MarkCold records that an endpoint is cold until a time. report is set if the evidence is this
// node's alone, so that the other nodes must learn of it. It returns whether the endpoint did not
// count as cold before.
func (l *Limits) MarkCold(now time.Time, endpoint site.IncarnationHash, c Cold, until time.Time, report bool) bool {
	if limit := now.Add(maxColdTime); until.After(limit) {
		until = limit
	}
	if c.PerSecond <= 0 || math.IsInf(c.PerSecond, 0) || math.IsNaN(c.PerSecond) || !until.After(now) {
		return false
	}
	e := l.cold[endpoint]
	isNew := e == nil || !now.Before(e.until)
	if e == nil {
		if len(l.cold) >= maxCold {
			return false
		}
		e = &coldEntry{share: share{updated: now}}
		l.cold[endpoint] = e
	}
	if until.After(e.until) {
		e.until, e.reported = until, report
	}
	e.perSecond, e.senders = max(min(c.PerSecond, cmp.Or(c.Bound, 2*c.PerSecond)-1), minPerSecond), c.senders()
	l.rankCold(now, endpoint, e)
	return isNew
}

// IsCold reports whether an endpoint counts as cold.
func (l *Limits) IsCold(now time.Time, endpoint site.IncarnationHash) bool {
	e := l.cold[endpoint]
	return e != nil && now.Before(e.until)
}

// ColdCount returns the number of endpoints that count as cold.
func (l *Limits) ColdCount(now time.Time) int {
	n := 0
	for _, e := range l.cold {
		if now.Before(e.until) {
			n++
		}
	}
	return n
}

// coldWait returns how long this node must wait before it may send a request to an endpoint that
// may be cold.
func (l *Limits) coldWait(now time.Time, endpoint site.IncarnationHash) time.Duration {
	e := l.cold[endpoint]
	if e == nil {
		return 0
	}
	if now.Before(e.until) {
		return e.wait(now)
	}
	ramp := float64(now.Sub(e.until)) / float64(rampTime)
	if ramp >= 1 {
		delete(l.cold, endpoint)
		return 0
	}
	if float64(e.rank) < float64(e.senders)+ramp*float64(len(l.recent)-e.senders) {
		return 0
	}
	return otherNodeWait
}

// rankCold computes whether this node is a sender for a cold endpoint. While it knows of few
// nodes, and has started a short time ago, others may send their shares too.
func (l *Limits) rankCold(now time.Time, endpoint site.IncarnationHash, e *coldEntry) {
	own := rendezvous.Mix(l.self ^ uint64(endpoint))
	e.rank = 0
	for _, n := range l.recent {
		if rendezvous.Mix(n^uint64(endpoint)) > own {
			e.rank++
		}
	}
	if now.Sub(l.started) > nodeRetention {
		e.senders = min(e.senders, len(l.recent))
	}
	e.setSender(e.rank < e.senders)
}

// retainNodes records the live nodes and drops those that have not been live for nodeRetention.
func (l *Limits) retainNodes(now time.Time, live []uint64) {
	if l.started.IsZero() {
		l.started = now
	}
	for _, n := range live {
		l.lastAlive[n] = now
	}
	maps.DeleteFunc(l.lastAlive, func(n uint64, at time.Time) bool { return n != l.self && now.Sub(at) > nodeRetention })
	if recent := slices.Sorted(maps.Keys(l.lastAlive)); !slices.Equal(recent, l.recent) {
		l.recent = recent
		for endpoint, e := range l.cold {
			l.rankCold(now, endpoint, e)
		}
	}
}

// ReportCold returns the endpoints that count as cold by this node's own evidence, as of a time
// of day, for the other nodes. Those that stay cold longest come first.
func (l *Limits) ReportCold(now, wallTime time.Time) []ColdEndpoint {
	var out []ColdEndpoint
	for endpoint, e := range l.cold {
		if e.reported && now.Before(e.until) {
			out = append(out, ColdEndpoint{endpoint, wallTime.Add(e.until.Sub(now))})
		}
	}
	slices.SortFunc(out, func(a, b ColdEndpoint) int {
		return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out[:min(len(out), maxReportedCold)]
}
