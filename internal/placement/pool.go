package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// Long prompts delay the tokens of all other requests at an engine: the engine does their
// prefill in chunks between the decode steps of the batch, and several chunks make all
// streams of the batch late. A long prompt therefore goes to an engine with few streams. In
// addition the engines of a service are divided, in an order that is the same at all nodes,
// into those preferred for long prompts and those preferred for short ones, according to
// the share of the work that long prompts cause. The division is soft: a request goes to
// the other group where its estimate there is lower by more than a small penalty. In a
// strict division long prompts delay each other (docs/design/placement.md).

const (
	// prefillGapShare is the fraction of the longest tolerated inter-event gap that prefill
	// may fill: the decode steps of the batch come on top, and this node learns of prompts
	// sent by other nodes with a delay of some hundred milliseconds.
	prefillGapShare = 0.55
	// defaultMaxGap is assumed where Request.MaxGap is not known.
	defaultMaxGap = 400 * time.Millisecond
	// streamDelayCost is the cost of each stream at an engine that the prefill of a prompt
	// likely makes late.
	streamDelayCost = 120 * time.Millisecond
	// longPromptPenalty is the cost of a long prompt at an engine preferred for short ones:
	// the delay of the streams there.
	longPromptPenalty = 30 * time.Millisecond
	// shortPromptPenalty is the cost of a short prompt at an engine preferred for long ones:
	// the inter-event gaps of its stream there.
	shortPromptPenalty = 60 * time.Millisecond
	// minPoolEngines is the smallest number of engines that are divided.
	minPoolEngines = 6
	// longPoolFactor is the share of the engines preferred for long prompts, as a multiple of
	// the share of their work: long prompts do not arrive evenly.
	longPoolFactor = 8.0
	// secondsPerToken is the engine time of one generated token in seconds: a decode step of
	// a few milliseconds shared by a batch of some ten requests.
	secondsPerToken = 0.0003
	// longShareWindow is the time constant of the smoothed share of long prompts.
	longShareWindow = 10 * time.Second
	// initialLongShare is the share assumed at first, with a weight of initialWork seconds
	// of engine time.
	initialLongShare = 0.1
	initialWork      = 1.0
)

// maxPrefillTime returns the longest prefill time that does not make the streams of an
// engine late.
func (r Request) maxPrefillTime() time.Duration {
	return time.Duration(prefillGapShare * float64(cmp.Or(r.MaxGap, defaultMaxGap)))
}

// longShare measures the share of a service's work that long prompts cause.
type longShare struct {
	longWork, totalWork float64
	updated             time.Time
}

func newLongShare() longShare {
	return longShare{longWork: initialLongShare * initialWork, totalWork: initialWork}
}

func (l *longShare) add(now time.Time, work float64, long bool) {
	if dt := now.Sub(l.updated).Seconds(); dt > 0 && !l.updated.IsZero() {
		decay := math.Exp(-dt / longShareWindow.Seconds())
		l.longWork, l.totalWork = l.longWork*decay, l.totalWork*decay
	}
	l.updated = now
	l.totalWork += work
	if long {
		l.longWork += work
	}
}

func (l *longShare) value() float64 {
	if l.totalWork <= 0 {
		return initialLongShare
	}
	return l.longWork / l.totalWork
}

// attentionTokens is the prompt length at which the quadratic part of the prefill work
// (attention) equals the linear part. It is about the same for all sizes of the usual
// models.
const attentionTokens = 48_000

// prefillWork returns the prefill work for the uncached tokens of a prompt that follow the
// cached ones. Its unit is the work for one token at the start of a prompt; later tokens
// take more, as each attends to all before it.
func prefillWork(cached, uncached int) int {
	cached = max(cached, 0)
	return uncached + uncached*(2*cached+uncached)/attentionTokens
}

// engineTime returns the engine time of a request in seconds.
func (s *service) engineTime(prefillWork, output int) float64 {
	return float64(prefillWork)/s.prefillRate + secondsPerToken*float64(output)
}

// isLong reports whether the prefill of a prompt is long enough to make other streams late.
// It assumes half of the shared prefix as cached, independent of what this node knows of
// caches, so that all nodes agree.
func (s *service) isLong(r Request) bool {
	uncached := float64(r.Prompt.Input) - float64(r.Prompt.sharedTokens())/2
	return seconds(float64(prefillWork(r.Prompt.Input-int(uncached), int(uncached)))/s.prefillRate) > r.maxPrefillTime()
}

// preferredCandidates returns the candidates preferred for long or for short prompts, and
// the penalty of the other candidates.
func (t *Table) preferredCandidates(s *service, candidates []*member, p Prompt, long bool) ([]*member, time.Duration) {
	if len(candidates) < minPoolEngines || candidates[0].engine == nil || p.Input == 0 {
		return candidates, 0
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *member) int { return cmp.Compare(rendezvous.Mix(a.hash), rendezvous.Mix(b.hash)) })
	n := int(math.Ceil(longPoolFactor * s.longShare.value() * float64(len(ordered))))
	n = min(max(n, 1), len(ordered)/2)
	if long {
		return ordered[:n], longPromptPenalty
	}
	return ordered[n:], shortPromptPenalty
}
