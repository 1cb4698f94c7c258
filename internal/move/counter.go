package move

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets of the histograms. A value belongs to the first bucket whose upper bound
// is at least the value; the last bucket has no upper bound.
const (
	latencyBuckets    = 32
	firstLatencyBound = time.Millisecond
	latencyGrowth     = 1.5
	sizeBuckets       = 24 // bounds are the powers of two from 1
	workspaceSlices   = 8
)

// latencyBounds are the upper bounds of all latency buckets but the last.
var latencyBounds = func() []time.Duration {
	bounds := make([]time.Duration, latencyBuckets-1)
	b := float64(firstLatencyBound)
	for i := range bounds {
		bounds[i] = time.Duration(b)
		b *= latencyGrowth
	}
	return bounds
}()

func latencyBucket(d time.Duration) int {
	return sort.Search(len(latencyBounds), func(i int) bool { return d <= latencyBounds[i] })
}

func sizeBucket(n int) int {
	i := 0
	for bound := 1; i < sizeBuckets-1 && n > bound; bound <<= 1 {
		i++
	}
	return i
}

// sizeBound returns the upper bound of a size bucket.
func sizeBound(bucket int) int { return 1 << bucket }

// Result classifies the end of a request.
type Result uint8

// Results of a request.
const (
	// OK is a complete response.
	OK Result = iota
	// Failed is an error, a truncated stream or an error within a successful response.
	Failed
	// Excused is a failure or delay caused by the reclaim or draining of an endpoint
	// or by overload. It does not count as evidence for or against the version.
	Excused
)

// Counter counts the requests of one route on one version. Each value only grows.
type Counter struct {
	Requests uint64 `json:"n"` // without excused ones
	Failures uint64 `json:"f"`
	Excused  uint64 `json:"x,omitempty"`
	// Latency and Size are histograms of the complete responses.
	Latency [latencyBuckets]uint64 `json:"l"`
	Size    [sizeBuckets]uint64    `json:"s"`
	// Slices count requests and failures by a hash of the workspace, because a fault
	// may affect one workspace only.
	Slices [workspaceSlices]ArmCount `json:"w"`
}

// add counts one request.
func (c *Counter) add(o Outcome) {
	slice := &c.Slices[xxhash.Sum64String(string(o.Workspace))%workspaceSlices]
	switch o.Result {
	case Excused:
		c.Excused++
		return
	case Failed:
		c.Failures++
		slice.Events++
	default:
		c.Latency[latencyBucket(o.Latency)]++
		c.Size[sizeBucket(o.Size)]++
	}
	c.Requests++
	slice.Trials++
}

// merge sets each value to the maximum of both counters.
func (c *Counter) merge(o *Counter) {
	c.Requests = max(c.Requests, o.Requests)
	c.Failures = max(c.Failures, o.Failures)
	c.Excused = max(c.Excused, o.Excused)
	for i := range c.Latency {
		c.Latency[i] = max(c.Latency[i], o.Latency[i])
	}
	for i := range c.Size {
		c.Size[i] = max(c.Size[i], o.Size[i])
	}
	for i := range c.Slices {
		c.Slices[i].Trials = max(c.Slices[i].Trials, o.Slices[i].Trials)
		c.Slices[i].Events = max(c.Slices[i].Events, o.Slices[i].Events)
	}
}

// sum adds the values of another node's counter.
func (c *Counter) sum(o *Counter) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	c.Excused += o.Excused
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
	for i := range c.Size {
		c.Size[i] += o.Size[i]
	}
	for i := range c.Slices {
		c.Slices[i].add(o.Slices[i])
	}
}

// slower returns the number of complete responses slower than the bound of a bucket.
func (c *Counter) slower(bucket int) uint64 {
	var n uint64
	for i := bucket + 1; i < latencyBuckets; i++ {
		n += c.Latency[i]
	}
	return n
}

// smaller returns the number of complete responses in the size buckets below a bucket.
func (c *Counter) smaller(bucket int) uint64 {
	var n uint64
	for i := range bucket {
		n += c.Size[i]
	}
	return n
}

// complete returns the number of complete responses.
func (c *Counter) complete() uint64 { return c.Requests - c.Failures }
