package duty

// Journal is the record in the store of the reports that were decided on. It is
// written before a report is sent, by conditional update.
type Journal struct {
	// Next is the first window that no report was decided on.
	Next int64 `json:"next"`
	// Open reports were decided on and are not known to have arrived.
	Open []UsageReport `json:"open"`
}

// begin returns a journal that starts at a window where it is empty.
func (j Journal) begin(window int64) Journal {
	if j.Next == 0 {
		j.Next = window
	}
	return j
}

// decide adds the report of the next window.
func (j Journal) decide(counts Counts) Journal {
	j.Open = append(append([]UsageReport(nil), j.Open...), UsageReport{Window: j.Next, Counts: counts})
	j.Next++
	return j
}

// sent drops a report that has arrived.
func (j Journal) sent(window int64) Journal {
	var open []UsageReport
	for _, r := range j.Open {
		if r.Window != window {
			open = append(open, r)
		}
	}
	j.Open = open
	return j
}

// skipTo drops the windows before one that are past all use.
func (j Journal) skipTo(window int64) Journal {
	j.Next = max(j.Next, window)
	var open []UsageReport
	for _, r := range j.Open {
		if r.Window >= window {
			open = append(open, r)
		}
	}
	j.Open = open
	return j
}
