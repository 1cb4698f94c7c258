package move

// flatLength is the number of values that Counter.Flatten returns.
const flatLength = 3 + latencyBuckets + sizeBuckets + 2*workspaceSlices

// Flatten returns the values of the counter as a list. Each value only grows, so
// that lists can be summed and merged element by element.
func (c *Counter) Flatten() []uint64 {
	out := make([]uint64, 0, flatLength)
	out = append(out, c.Requests, c.Failures, c.Excused)
	out = append(out, c.Latency[:]...)
	out = append(out, c.Size[:]...)
	for _, s := range c.Slices {
		out = append(out, s.Trials, s.Events)
	}
	return out
}

// Unflatten returns the counter whose flattened form is sum minus subtract, element
// by element. Elements missing at the end of a list count as zero.
func Unflatten(sum, subtract []uint64) Counter {
	at := func(i int) uint64 {
		var v, l uint64
		if i < len(sum) {
			v = sum[i]
		}
		if i < len(subtract) {
			l = subtract[i]
		}
		return v - min(v, l)
	}
	c := Counter{Requests: at(0), Failures: at(1), Excused: at(2)}
	n := 3
	for i := range c.Latency {
		c.Latency[i] = at(n + i)
	}
	n += latencyBuckets
	for i := range c.Size {
		c.Size[i] = at(n + i)
	}
	n += sizeBuckets
	for i := range c.Slices {
		c.Slices[i].Trials = at(n + 2*i)
		c.Slices[i].Events = at(n + 2*i + 1)
	}
	return c
}
