package duty

import "github.com/jujubeshed/jujubeshed/internal/platformapi"

// ReportLog is the stored log of finalised reports, that is, of reports whose counts no
// longer change. It is written by conditional update before a report is sent.
type ReportLog struct {
	// Era is the era of the store in which the log was written. A log of an earlier era
	// comes from the copy that the store was restored from: it may lack reports that were
	// sent.
	Era platformapi.Era `json:"era,omitempty"`
	// Next is the first window whose report is not finalised.
	Next int64 `json:"next"`
	// Pending are the finalised reports whose delivery is not confirmed.
	Pending []UsageReport `json:"open"`
}

// startAt sets the first window of a log that is empty.
func (l ReportLog) startAt(window int64) ReportLog {
	if l.Next == 0 {
		l.Next = window
	}
	return l
}

// later returns the log in which more windows are finalised. Both are states of one log: a
// window's report is finalised once only.
func (l ReportLog) later(o ReportLog) ReportLog {
	if o.Next > l.Next {
		return o
	}
	return l
}

// withoutUnknown returns a log that was written before the store was restored, for use
// after that. Windows before the given one that are not in the log may have been reported
// by a holder whose log is lost. They are skipped, as a report must not be sent with other
// counts. The reports in the log are kept: sending them again has no effect.
func (l ReportLog) withoutUnknown(window int64) ReportLog {
	l.Next = max(l.Next, window)
	return l
}

// add appends the report of the next window.
func (l ReportLog) add(counts Counts) ReportLog {
	l.Pending = append(append([]UsageReport(nil), l.Pending...), UsageReport{Window: l.Next, Counts: counts})
	l.Next++
	return l
}

// remove removes the pending report of a window.
func (l ReportLog) remove(window int64) ReportLog {
	var pending []UsageReport
	for _, r := range l.Pending {
		if r.Window != window {
			pending = append(pending, r)
		}
	}
	l.Pending = pending
	return l
}

// skipTo drops all windows before the given one, pending reports included.
func (l ReportLog) skipTo(window int64) ReportLog {
	l.Next = max(l.Next, window)
	var open []UsageReport
	for _, r := range l.Pending {
		if r.Window >= window {
			open = append(open, r)
		}
	}
	l.Pending = open
	return l
}
