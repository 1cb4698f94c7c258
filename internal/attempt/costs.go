package attempt

import "time"

// Costs estimate the price of moving a KV cache against computing it again.
type Costs struct {
	// PrefillPerSec is the rate of computing tokens again; zero if unknown.
	PrefillPerSec float64
	// KVBytesPerToken and LinkBytesPerSec give the time of a move; zero if unknown.
	KVBytesPerToken float64
	LinkBytesPerSec float64
	// TransferOverhead is the fixed time of an export and an import.
	TransferOverhead time.Duration
}

// Recompute estimates the time to compute the cache of that many tokens.
func (c Costs) Recompute(tokens int) time.Duration {
	return seconds(float64(tokens) / c.PrefillPerSec)
}

// Transfer estimates the time to move the cache of that many tokens.
func (c Costs) Transfer(tokens int) time.Duration {
	return c.TransferOverhead + seconds(float64(tokens)*c.KVBytesPerToken/c.LinkBytesPerSec)
}

// TransferIsCheaper tells whether the cache should be moved. Where an estimate is
// unknown, it should not.
func (c Costs) TransferIsCheaper(tokens int) bool {
	if c.PrefillPerSec <= 0 || c.KVBytesPerToken <= 0 || c.LinkBytesPerSec <= 0 {
		return false
	}
	return c.Transfer(tokens) < c.Recompute(tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
