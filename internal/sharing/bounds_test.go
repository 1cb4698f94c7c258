package sharing

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/quarantine"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

func incarnationOf(n int) quota.NodeIncarnation {
	return quota.NodeIncarnation{Node: ident.NodeID(fmt.Sprint("n", n)), Incarnation: 1}
}

// intervalOf is the interval of the exchanges in a deployment of n nodes.
func intervalOf(n int) time.Duration {
	s := &Service{opts: Options{Interval: DefaultInterval}}
	s.mu.states = NewStateTable(incarnationOf(0))
	for i := range n {
		s.mu.states.Merge(time.Now(), []NodeState{{Incarnation: incarnationOf(i), Heartbeat: 1}})
	}
	return s.Interval()
}

// linkBytesPerSecond is the link of the smallest host in a large deployment, 20 Mbit/s, and
// maxLinkShare the share of it that what is exchanged about faulty requests and endpoints may
// take, even if all nodes have as much to report as they can.
const (
	linkBytesPerSecond = 20e6 / 8
	maxLinkShare       = 0.03
)

// TestQuarantineReportsAreBounded checks that the reports of all nodes on prompt segments that
// crash endpoints take a small share of a node's link at 8, 76 and 195 nodes, and nothing
// where there was no crash.
func TestQuarantineReportsAreBounded(t *testing.T) {
	now := time.Now()
	if size := proto.Size(encodeState(&NodeState{Quarantine: quarantine.New(now).Report(now, 8)})); size > proto.Size(encodeState(&NodeState{})) {
		t.Errorf("%d bytes without a crash", size)
	}
	for _, n := range []int{8, 76, 195} {
		tracker := quarantine.New(now.Add(-time.Hour))
		for i := range 300 {
			var segments []quarantine.Segment
			for j := range 40 {
				segments = append(segments, quarantine.Segment(uint64(1)<<63+uint64(i)<<10+uint64(j)))
			}
			tracker.RecordCrash(now, quarantine.Crash{Endpoint: quarantine.Incarnation(uint64(1)<<63 + uint64(i)), Dispatched: now.Add(-time.Minute), At: now.Add(-time.Second), Segments: segments})
			tracker.RecordAnswer(now, now.Add(-time.Minute), segments)
			tracker.AddHold(now, quarantine.Hold{Segment: quarantine.Segment(uint64(1)<<63 + uint64(i)), Until: now.Add(quarantine.HoldTime)})
		}
		msg := &sharingv1.Row{}
		encodeQuarantine(msg, tracker.Report(now, n))
		bytesPerSecond := float64(n*proto.Size(msg)) / intervalOf(n).Seconds()
		if len(msg.Crashes) == 0 || len(msg.Answers) == 0 || len(msg.Holds) == 0 || bytesPerSecond > maxLinkShare*linkBytesPerSecond {
			t.Errorf("%d nodes: %s, %.0f bytes/s, at most %.0f", n, describe(msg), bytesPerSecond, maxLinkShare*linkBytesPerSecond)
		}
	}
}

func describe(msg *sharingv1.Row) string {
	return fmt.Sprintf("%d bytes with %d crashes, %d answers, %d holds", proto.Size(msg), len(msg.Crashes), len(msg.Answers), len(msg.Holds))
}
