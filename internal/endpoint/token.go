package endpoint

import (
	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the number of bytes of prompt text per block of the prefix cache.
const BlockBytes = 64

// BytesPerToken is the estimated average size of a token, used to estimate token
// counts from text.
const BytesPerToken = 4

// PromptText returns the messages as the text by which engines key their prefix
// cache.
func PromptText(messages []Message) string {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	b := make([]byte, 0, n)
	for _, m := range messages {
		b = append(b, m.Role...)
		b = append(b, '\n')
		b = append(b, m.Content...)
		b = append(b, '\n')
	}
	return string(b)
}

// PromptTokens returns the estimated number of tokens of a text.
func PromptTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// BlockChain returns the chained hashes of the complete blocks of a text: the hash
// of block i covers all text up to the end of the block.
func BlockChain(text string) []uint64 {
	n := len(text) / BlockBytes
	chain := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(text[i*BlockBytes : (i+1)*BlockBytes])
		chain = append(chain, d.Sum64())
	}
	return chain
}
