package move

// flatCounter is the number of values of a flattened Counter.
const flatCounter = 3 + latencyBuckets + sizeBuckets + 2*workspaceSlices

// Flatten returns the counter as a list of grow-only numbers, which can be summed
// and merged one by one.
func (c *Counter) Flatten() []uint64 {
	out := make([]uint64, 0, flatCounter)
	out = append(out, c.Requests, c.Failures, c.Excused)
	out = append(out, c.Latency[:]...)
	out = append(out, c.Size[:]...)
	for _, s := range c.Slices {
		out = append(out, s.Trials, s.Events)
	}
	return out
}

// Unflatten returns the counter of a flattened list, less another one of which it
// is the sum; a short list has zeros at its end.
func Unflatten(sum, less []uint64) Counter {
	at := func(i int) uint64 {
		var v, l uint64
		if i < len(sum) {
			v = sum[i]
		}
		if i < len(less) {
			l = less[i]
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
