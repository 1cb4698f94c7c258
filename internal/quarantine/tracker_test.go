package quarantine

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

var testStart = time.Unix(1_800_000_000, 0)

// clocked is a tracker that started long before the test, with the test's clock.
type clocked struct {
	*Tracker
	t   *testing.T
	now time.Time
}

func newClocked(t *testing.T) *clocked {
	return &clocked{New(testStart.Add(-time.Hour)), t, testStart}
}

// crash records the crash of an endpoint, at which a request had been sent 200 ms before.
func (c *clocked) crash(endpoint site.IncarnationHash, segments ...Trait) {
	c.RecordCrash(c.now, Crash{Endpoint: endpoint, Dispatched: c.now.Add(-200 * time.Millisecond), At: c.now, Segments: segments})
	c.wait(time.Second)
}

// wait advances the clock; all other nodes have just reported.
func (c *clocked) wait(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(100 * time.Millisecond)
		c.Tick(c.now, c.now)
	}
}

func (c *clocked) checkHeld(want bool, segments ...Trait) {
	c.t.Helper()
	if s, got := c.Held(c.now, segments); got != want {
		c.t.Errorf("after %s: held %t (segment %s), want %t", c.now.Sub(testStart), got, s, want)
	}
}

// TestThreeCrashesHoldSegment checks that the third crash in turn holds a new segment, and
// none of those that other requests were answered with.
func TestThreeCrashesHoldSegment(t *testing.T) {
	c := newClocked(t)
	c.RecordAnswer(c.now, c.now.Add(-time.Minute), []Trait{1, 2})
	c.crash(1, 1, 2, 7)
	c.crash(2, 1, 2, 7)
	c.checkHeld(false, 7)
	c.crash(3, 1, 2, 7)
	c.checkHeld(true, 7)
	c.checkHeld(false, 1, 2)
	c.crash(4, 1, 2, 7)
	c.crash(5, 1, 2, 7)
	c.crash(6, 1, 2, 7)
	c.checkHeld(false, 1, 2)
	if holds := c.Holds(); len(holds) != 1 || holds[0].Trait != 7 {
		t.Errorf("holds are %v", holds)
	}
}

// TestSegmentThatTurnsFatal checks that a segment with earlier answers is held after the fifth
// crash without another answer.
func TestSegmentThatTurnsFatal(t *testing.T) {
	c := newClocked(t)
	c.RecordAnswer(c.now, c.now.Add(-time.Minute), []Trait{7})
	for i := range 4 {
		c.crash(site.IncarnationHash(i), 7)
	}
	c.checkHeld(false, 7)
	c.crash(5, 7)
	c.checkHeld(true, 7)
}

// TestAnswerClearsSegment checks that an answer of another node clears a suspected segment, and
// that crashes before it don't count any more.
func TestAnswerClearsSegment(t *testing.T) {
	c := newClocked(t)
	c.crash(1, 7)
	c.crash(2, 7)
	c.RecordCrash(c.now, Crash{Endpoint: 3, Dispatched: c.now.Add(-time.Millisecond), At: c.now, Segments: []Trait{7}})
	c.checkHeld(true, 7)
	c.Merge(c.now, 1, Report{Answers: []Answer{{7, c.now.Add(10 * time.Millisecond)}}})
	c.wait(100 * time.Millisecond)
	c.checkHeld(false, 7)
	c.crash(4, 7)
	c.crash(5, 7)
	c.wait(5 * time.Second)
	c.checkHeld(false, 7)
}

// TestCutOffNodeDoesNotDecide checks that a node that hears nothing from the others holds its
// requests back, but makes no decision that spreads.
func TestCutOffNodeDoesNotDecide(t *testing.T) {
	c := newClocked(t)
	heard := c.now
	for i := range 3 {
		c.RecordCrash(c.now, Crash{Endpoint: site.IncarnationHash(i), Dispatched: c.now.Add(-time.Millisecond), At: c.now, Segments: []Trait{7}})
		c.now = c.now.Add(time.Second)
	}
	for range 100 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.Tick(c.now, heard)
	}
	c.checkHeld(true, 7)
	if len(c.Holds()) > 0 {
		t.Error("a node that is cut off has decided for the others")
	}
	c.wait(5 * time.Second) // it hears the others again
	if len(c.Holds()) != 1 {
		t.Error("no decision after the contact")
	}
}

// TestHoldEnds checks that a hold ends by itself although requests with the segment come, and
// that the next crash holds the segment again, unless a request with it was answered.
func TestHoldEnds(t *testing.T) {
	c := newClocked(t)
	c.AddHold(c.now, Hold{7, c.now.Add(100 * HoldTime)}) // of a node whose clock is wrong
	c.AddHold(c.now, Hold{8, c.now.Add(HoldTime)})
	c.wait(HoldTime - 2*time.Second)
	c.crash(9, 7) // of a request that was sent before the hold
	c.checkHeld(true, 7)
	c.wait(2 * time.Second)
	c.checkHeld(false, 7, 8)
	c.crash(1, 7)
	c.checkHeld(true, 7)
	c.crash(2, 8)
	c.RecordAnswer(c.now, c.now, []Trait{8})
	c.checkHeld(false, 8)
}

// fill returns a tracker with as many facts as it stores, all of them recent.
func fill(now time.Time) *Tracker {
	t := New(now.Add(-time.Hour))
	for i := range 2 * maxCrashes {
		var segments []Trait
		for j := range 2 * maxSegments {
			segments = append(segments, Trait(i%40*1000+j))
		}
		at := now.Add(-time.Duration(i) * 10 * time.Millisecond)
		t.addCrash(now, Crash{Endpoint: site.IncarnationHash(i), Dispatched: at.Add(-time.Second), At: at, Signature: Trait(2_000_000 + i%40), Segments: segments}, self)
		t.RecordAnswer(now, at.Add(-time.Minute), segments)
		t.AddHold(now, Hold{Trait(1_000_000 + i), now.Add(HoldTime)})
	}
	return t
}

// TestMemoryIsBounded checks that a tracker forgets the oldest facts beyond its bounds.
func TestMemoryIsBounded(t *testing.T) {
	tr := fill(testStart)
	for i := range 3 * maxAnswers {
		tr.RecordAnswer(testStart, testStart.Add(time.Duration(i)), []Trait{Trait(i)})
		tr.Merge(testStart, 1, Report{Answers: []Answer{{Trait(i), testStart.Add(time.Duration(i))}}})
	}
	if len(tr.crashes) > maxCrashes || len(tr.answers) > maxAnswers || len(tr.peerAnswers) > maxAnswers || len(tr.holds) > maxHolds {
		t.Errorf("%d crashes, %d and %d answers, %d holds", len(tr.crashes), len(tr.answers), len(tr.peerAnswers), len(tr.holds))
	}
	if _, ok := tr.answers[Trait(3*maxAnswers-1)]; !ok {
		t.Error("the latest answer is forgotten")
	}
}

// BenchmarkEvaluate measures an evaluation of a full tracker, which is made at most once per
// tick and own crash.
func BenchmarkEvaluate(b *testing.B) {
	tr := fill(testStart)
	for b.Loop() {
		tr.evaluate(testStart)
	}
}

// BenchmarkHeld measures the check of a request while segments are held.
func BenchmarkHeld(b *testing.B) {
	tr := fill(testStart)
	segments := []Trait{1, 2, 3}
	for b.Loop() {
		tr.Held(testStart, segments)
	}
}

// TestIndistinguishableSegments guards against sound requests that are held back with a deadly
// segment: it comes with segments that sound requests have, too, and no answer distinguishes them, as
// all were answered before the first crash, or the node has just started.
func TestIndistinguishableSegments(t *testing.T) {
	answered := newClocked(t)
	answered.RecordAnswer(answered.now, answered.now.Add(-time.Minute), []Trait{1, 2, 7})
	for name, c := range map[string]*clocked{
		"answered before": answered,
		"never answered":  newClocked(t),
		"just started":    {New(testStart.Add(-time.Second)), t, testStart},
	} {
		t.Run(name, func(t *testing.T) {
			c.t = t
			for i := range 5 {
				crash := Crash{Endpoint: site.IncarnationHash(i), Dispatched: c.now.Add(-200 * time.Millisecond), At: c.now, Segments: []Trait{1, 2, 7}}
				c.RecordCrash(c.now, crash)
				c.now = c.now.Add(350 * time.Millisecond)
			}
			c.checkHeld(true, 1, 2, 7)
			c.checkHeld(false, 1, 2)
			c.checkHeld(false, 1, 3)
			c.RecordAnswer(c.now, c.now, []Trait{1, 2})
			c.wait(3 * time.Second)
			c.checkHeld(true, 7)
			c.checkHeld(false, 1, 2)
			if holds := c.Holds(); len(holds) != 1 || holds[0].Trait != 7 {
				t.Errorf("holds are %v", holds)
			}
		})
	}
}

// TestOneOfSeveralSegmentsIsHeld checks that the last of several segments is held, for which
// requests with all of them are the only ones, if no answer distinguishes them in time.
func TestOneOfSeveralSegmentsIsHeld(t *testing.T) {
	c := newClocked(t)
	for i := range 4 {
		c.crash(site.IncarnationHash(i), 1, 2, 7)
	}
	c.wait(settleTime)
	if holds := c.Holds(); len(holds) != 0 {
		t.Errorf("holds are %v before the segments could be distinguished", holds)
	}
	c.wait(sharedSettleTime)
	c.checkHeld(true, 1, 2, 7)
	c.checkHeld(false, 1, 2)
	if holds := c.Holds(); len(holds) != 1 || holds[0].Trait != 7 {
		t.Errorf("holds are %v", holds)
	}
}

// TestSharedSegmentTurnsFatal checks that a crash under one of the segments alone, which are
// suspected together, distinguishes them.
func TestSharedSegmentTurnsFatal(t *testing.T) {
	c := newClocked(t)
	for i := range 3 {
		c.crash(site.IncarnationHash(i), 1, 7)
	}
	c.checkHeld(false, 1)
	c.crash(4, 1)
	c.crash(5, 1)
	c.checkHeld(true, 1)
}

// TestSignatureOfDifferentRequests guards against sound requests that are refused for the signature
// that they share with requests whose segment crashes endpoints: while all endpoints are down, no
// answer clears the signature, and once it is held back none can.
func TestSignatureOfDifferentRequests(t *testing.T) {
	const signature, fatal = Trait(900), Trait(7)
	c := &clocked{New(testStart.Add(-time.Second)), t, testStart}
	crash := func(endpoint site.IncarnationHash) {
		c.RecordCrash(c.now, Crash{Endpoint: endpoint, Dispatched: c.now.Add(-20 * time.Millisecond), At: c.now, Signature: signature, Segments: []Trait{1, 2, fatal}})
		c.wait(200 * time.Millisecond)
	}
	c.RecordAnswer(c.now, c.now, []Trait{1, 2})
	c.RecordCompletion(c.now, signature)
	c.wait(100 * time.Millisecond)
	for endpoint := range site.IncarnationHash(3) {
		crash(endpoint)
	}
	c.checkHeld(true, 1, 2, fatal, signature)
	c.checkHeld(false, 1, 2, signature)
	c.wait(3 * time.Second) // until an endpoint is back
	c.checkHeld(false, 1, 2, signature)
	c.RecordAnswer(c.now, c.now, []Trait{1, 2})
	c.RecordCompletion(c.now, signature)
	crash(3)
	crash(4)
	c.wait(settleTime)
	c.checkHeld(true, 1, 2, fatal, signature)
	c.wait(2 * sharedSettleTime)
	c.checkHeld(false, 1, 2, signature)
	if holds := c.Holds(); len(holds) != 1 || holds[0].Trait != fatal {
		t.Errorf("holds are %v", holds)
	}
}

// TestRepeatedRequestWithSegmentsIsHeld checks that a request that comes again is held back by its
// signature also while its segments may be the cause, and is held in the end.
func TestRepeatedRequestWithSegmentsIsHeld(t *testing.T) {
	const signature = Trait(900)
	c := newClocked(t)
	for endpoint := range site.IncarnationHash(3) {
		c.RecordCrash(c.now, Crash{Endpoint: endpoint, Dispatched: c.now.Add(-20 * time.Millisecond), At: c.now, Signature: signature, Segments: []Trait{1, 2}})
		c.wait(200 * time.Millisecond)
	}
	c.checkHeld(true, 1, 2, signature)
	c.RecordAnswer(c.now, c.now, []Trait{1})
	c.checkHeld(true, 1, 2, signature)
	c.RecordAnswer(c.now, c.now, []Trait{2})
	c.checkHeld(true, 1, 2, signature)
	c.wait(sharedSettleTime)
	c.checkHeld(true, 1, 2, signature)
	if holds := c.Holds(); len(holds) != 1 || holds[0].Trait != signature {
		t.Errorf("holds are %v", holds)
	}
}
