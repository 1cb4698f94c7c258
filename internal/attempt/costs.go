package attempt

import "time"

// Costs estimates the time to transfer a KV cache and the time to compute it again.
type Costs struct {
	// PrefillPerSec is the prefill rate in tokens per second; zero if unknown.
	PrefillPerSec float64
	// KVBytesPerToken and LinkBytesPerSec determine the time of a transfer; zero if unknown.
	KVBytesPerToken float64
	LinkBytesPerSec float64
	// TransferOverhead is the fixed time of an export and an import, added to each transfer.
	TransferOverhead time.Duration
}

// Recompute returns the estimated time to compute the KV cache of that many tokens.
func (c Costs) Recompute(tokens int) time.Duration {
	return seconds(float64(tokens) / c.PrefillPerSec)
}

// Transfer returns the estimated time to transfer the KV cache of that many tokens.
func (c Costs) Transfer(tokens int) time.Duration {
	return c.TransferOverhead + seconds(float64(tokens)*c.KVBytesPerToken/c.LinkBytesPerSec)
}

// TransferIsCheaper reports whether transferring the KV cache of that many tokens takes
// less time than computing it again. It returns false where a rate is unknown.
func (c Costs) TransferIsCheaper(tokens int) bool {
	if c.PrefillPerSec <= 0 || c.KVBytesPerToken <= 0 || c.LinkBytesPerSec <= 0 {
		return false
	}
	return c.Transfer(tokens) < c.Recompute(tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
