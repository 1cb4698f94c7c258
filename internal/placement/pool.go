package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// Long prompts delay the tokens of every request that runs beside them: an engine
// reads them in chunks between the steps of a batch, and a pause of several chunks
// makes all streams of the batch late. A long prompt therefore goes where few
// streams run, and the engines of a service are divided, in an order that all nodes
// share, into some that long prompts prefer and some that short ones do, by the part
// of the work that long prompts are. The division is soft: a request goes to the
// other side where its own is busier by a small penalty. A strict one made long
// prompts late by each other (docs/design/placement.md).

const (
	// pauseShare is the part of the longest pause that streams bear which the reading
	// of prompts may fill: the steps of the batch come on top, and other nodes send
	// prompts that this one hears of some hundred milliseconds late.
	pauseShare = 0.55
	// defaultGap is assumed where the longest pause is not known.
	defaultGap = 400 * time.Millisecond
	// pauseCost is what each stream at an engine counts for that is likely made late by
	// the reading of a prompt.
	pauseCost = 120 * time.Millisecond
	// longPenalty is what a long prompt costs the streams at an engine for short ones.
	longPenalty = 30 * time.Millisecond
	// shortPenalty is what a stream at an engine for long prompts bears in pauses.
	shortPenalty = 60 * time.Millisecond
	// minPooled is the least number of engines that are divided.
	minPooled = 6
	// poolRoom is the number of engines for long prompts, as a multiple of their work:
	// they come in no even order.
	poolRoom = 8.0
	// tokenWork is the part of an engine that one generated token takes, in seconds:
	// a step of some milliseconds shared by a batch of some ten requests.
	tokenWork = 0.0003
	// longWindow is the time constant of the part of long work.
	longWindow = 10 * time.Second
	// longPrior is the part assumed at first, with the weight of some requests.
	longPrior = 0.1
	priorWork = 1.0
)

// longestRead returns the longest time of reading prompts that does not make the
// streams of an engine late.
func (r Request) longestRead() time.Duration {
	return time.Duration(pauseShare * float64(cmp.Or(r.MaxGap, defaultGap)))
}

// longShare measures the part of a service's work that long prompts are.
type longShare struct {
	long, all float64
	at        time.Time
}

func newLongShare() longShare { return longShare{long: longPrior * priorWork, all: priorWork} }

func (l *longShare) add(now time.Time, work float64, long bool) {
	if dt := now.Sub(l.at).Seconds(); dt > 0 && !l.at.IsZero() {
		f := math.Exp(-dt / longWindow.Seconds())
		l.long, l.all = l.long*f, l.all*f
	}
	l.at = now
	l.all += work
	if long {
		l.long += work
	}
}

func (l *longShare) value() float64 {
	if l.all <= 0 {
		return longPrior
	}
	return l.long / l.all
}

// attentionTokens is the length of a prompt of which the part of the work that grows
// with its square is as large as the other one: it is about the same for all sizes of
// the usual models.
const attentionTokens = 48_000

// readingWork returns the work of reading tokens of a prompt behind those that are
// cached, in tokens at the start of a prompt: each token attends to all before it.
func readingWork(cached, uncached int) int {
	cached = max(cached, 0)
	return uncached + uncached*(2*cached+uncached)/attentionTokens
}

// work returns the engine time that a request takes, in seconds.
func (s *service) work(reading, output int) float64 {
	return float64(reading)/s.prefill + tokenWork*float64(output)
}

// isLong tells whether a prompt delays others. Half of its shared parts is taken to
// be cached, so that all nodes agree.
func (s *service) isLong(r Request) bool {
	unread := float64(r.Prompt.Input) - float64(r.Prompt.sharedTokens())/2
	return seconds(float64(readingWork(r.Prompt.Input-int(unread), int(unread)))/s.prefill) > r.longestRead()
}

// pool returns the candidates for a prompt of this length, and the penalty of the
// others.
func (t *Table) pool(s *service, candidates []*member, p Prompt, long bool) ([]*member, time.Duration) {
	if len(candidates) < minPooled || candidates[0].engine == nil || p.Input == 0 {
		return candidates, 0
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *member) int { return cmp.Compare(rendezvous.Mix(a.hash), rendezvous.Mix(b.hash)) })
	n := int(math.Ceil(poolRoom * s.long.value() * float64(len(ordered))))
	n = min(max(n, 1), len(ordered)/2)
	if long {
		return ordered[:n], longPenalty
	}
	return ordered[n:], shortPenalty
}
