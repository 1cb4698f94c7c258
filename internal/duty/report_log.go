package duty

// ReportLog is the stored log of finalised reports, that is, of reports whose counts no
// longer change. It is written by conditional update before a report is sent.
type ReportLog struct {
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
