package sharing

import (
	"time"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/quarantine"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

func encodeQuarantine(msg *sharingv1.Row, r quarantine.Report) {
	for _, c := range r.Crashes {
		crash := &sharingv1.Crash{Endpoint: uint64(c.Endpoint), At: c.At.UnixMilli(), SentBefore: uint32(max(c.At.Sub(c.Dispatched).Milliseconds(), 0)),
			Signature: uint64(c.Signature), Answering: c.Answering}
		for _, s := range c.Segments {
			crash.Segments = append(crash.Segments, uint64(s))
		}
		msg.Crashes = append(msg.Crashes, crash)
	}
	for _, a := range r.Answers {
		msg.Answers = append(msg.Answers, &sharingv1.SegmentTime{Segment: uint64(a.Trait), At: a.Began.UnixMilli()})
	}
	for _, h := range r.Holds {
		msg.Holds = append(msg.Holds, &sharingv1.SegmentTime{Segment: uint64(h.Trait), At: h.Until.UnixMilli()})
	}
}

func decodeQuarantine(msg *sharingv1.Row) quarantine.Report {
	var r quarantine.Report
	for _, c := range msg.Crashes {
		at := time.UnixMilli(c.At)
		crash := quarantine.Crash{Endpoint: site.IncarnationHash(c.Endpoint), At: at, Dispatched: at.Add(-time.Duration(c.SentBefore) * time.Millisecond),
			Signature: quarantine.Trait(c.Signature), Answering: c.Answering}
		for _, s := range c.Segments {
			crash.Segments = append(crash.Segments, quarantine.Trait(s))
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, a := range msg.Answers {
		r.Answers = append(r.Answers, quarantine.Answer{Trait: quarantine.Trait(a.Segment), Began: time.UnixMilli(a.At)})
	}
	for _, h := range msg.Holds {
		r.Holds = append(r.Holds, quarantine.Hold{Trait: quarantine.Trait(h.Segment), Until: time.UnixMilli(h.At)})
	}
	return r
}
